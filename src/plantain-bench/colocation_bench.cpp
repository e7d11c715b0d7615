#include "colocation_bench.h"

#include "bench_report.h"

#include "colocation_model.h"

#include "plantainpitch/policy/evict_on_violation.h"
#include "plantainpitch/policy/first_fit_placement.h"
#include "plantainpitch/policy/interference_placement.h"
#include "plantainpitch/policy/lagged_throttle.h"
#include "plantainpitch/policy/learned_interference.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace plantainpitch {

namespace {

constexpr std::array<std::uint64_t, 5> seeds{ 1, 2, 3, 4, 5 };
constexpr std::int64_t runSeconds = 3600;

colocation_result runBaseline(std::uint64_t seed)
{
    colocation_model model(seed,
                           { .placement = std::make_unique<first_fit_placement>(),
                             .controller = [] { return std::make_unique<evict_on_violation>(); } });
    return model.run(runSeconds);
}

/// Placement and batch share from the interference as it is, up to the target less the jitter.
colocation_result runOracle(std::uint64_t seed, weighting goal)
{
    const auto truth = colocation_model::truth(seed);
    colocation_model model(
            seed,
            { .placement = std::make_unique<interference_placement>(*truth, goal), .goal = 0.95 });
    return model.run(runSeconds);
}

colocation_result runPolicy(std::uint64_t seed, weighting goal)
{
    auto learned = std::make_unique<learned_interference>();
    auto placement = std::make_unique<interference_placement>(*learned, goal);
    colocation_model model(seed, { .model = std::move(learned),
                                   .placement = std::move(placement),
                                   .controller =
                                           [goal] {
                                               return std::make_unique<lagged_throttle>(
                                                       lagged_throttle_options{ .goal = goal });
                                           },
                                   .goal = latencyGoal(goal) });
    return model.run(runSeconds);
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void compare(bench_report &report, weighting goal, const std::string &name)
{
    std::vector<double> met;
    std::vector<double> baselineMet;
    std::vector<double> work;
    std::vector<double> baselineWork;
    std::vector<double> evictions;
    std::vector<double> baselineEvictions;
    for (const std::uint64_t seed : seeds) {
        const colocation_result baseline = runBaseline(seed);
        const colocation_result oracle = runOracle(seed, goal);
        const colocation_result policy = runPolicy(seed, goal);
        met.push_back(policy.metShare());
        baselineMet.push_back(baseline.metShare());
        work.push_back(policy.batchWork / oracle.batchWork);
        baselineWork.push_back(baseline.batchWork / oracle.batchWork);
        evictions.push_back(static_cast<double>(policy.evictions));
        baselineEvictions.push_back(static_cast<double>(baseline.evictions));
    }
    report.add("latency windows met, " + name, median(baselineMet), median(met), ">= 0.99",
               median(met) >= 0.99);
    report.add("batch work against known interference, " + name, median(baselineWork), median(work),
               ">= 0.85", median(work) >= 0.85);
    report.add("evictions in an hour, " + name, median(baselineEvictions), median(evictions),
               "<= a tenth of baseline", median(evictions) <= 0.1 * median(baselineEvictions));
}

} // namespace

void runColocationBench(bench_report &report)
{
    compare(report, weighting::tail_latency, "tail_latency");
    compare(report, weighting::batch_throughput, "batch_throughput");
}

} // namespace plantainpitch
