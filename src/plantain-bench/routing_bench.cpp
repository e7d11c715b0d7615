#include "routing_bench.h"

#include "bench_report.h"

#include "plantainpitch/policy/admit_all.h"
#include "plantainpitch/policy/least_connections.h"
#include "plantainpitch/policy/no_hedging.h"
#include "plantainpitch/policy/two_choice_routing.h"
#include "plantainpitch/policy/unlimited_retries.h"
#include "request_model.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <ostream>

namespace plantainpitch {

namespace {

constexpr std::array<std::uint64_t, 5> seeds{ 1, 2, 3, 4, 5 };

using scenario = std::function<request_model_options()>;
using measure = std::function<double(const request_model_result &)>;

/// Median over the seeds of each measure.
std::vector<double> medians(const scenario &make, const std::vector<measure> &measures)
{
    std::vector<std::vector<double>> values(measures.size());
    for (const std::uint64_t seed : seeds) {
        auto options = make();
        options.seed = seed;
        const auto result = request_model(std::move(options)).run();
        for (std::size_t i = 0; i < measures.size(); ++i)
            values[i].push_back(measures[i](result));
    }
    std::vector<double> middle;
    for (auto &each : values) {
        std::sort(each.begin(), each.end());
        middle.push_back(each[each.size() / 2]);
    }
    return middle;
}

request_model_options asBaseline(request_model_options options)
{
    options.router.makeRoutingPolicy = [](std::uint64_t seed) {
        return std::make_unique<least_connections>(seed);
    };
    options.router.makeRetryBudget = [] { return std::make_unique<unlimited_retries>(); };
    options.router.makeHedgePolicy = [] { return std::make_unique<no_hedging>(); };
    options.makeAdmissionPolicy = [] { return std::make_unique<admit_all>(); };
    return options;
}

/// Tail latency with slow endpoints: at most half of the baseline's.
void benchTail(bench_report &report, const std::string &name, const scenario &make)
{
    const std::vector<measure> measures{
        [](const auto &result) { return result.percentileMs(0.5); },
        [](const auto &result) { return result.percentileMs(0.99); },
        [](const auto &result) { return result.percentileMs(0.999); },
        [](const auto &result) { return result.unanswered; },
        [](const auto &result) { return result.addedLoad; },
    };
    const auto baseline = medians([&make] { return asBaseline(make()); }, measures);
    const auto policy = medians(make, measures);
    report.details() << name << ": median " << std::fixed << std::setprecision(2) << baseline[0]
                     << " ms and " << policy[0] << " ms, unanswered " << std::setprecision(5)
                     << baseline[3] << " and " << policy[3] << ", added dispatches " << baseline[4]
                     << " and " << policy[4] << '\n';
    report.add(name + ", p99 ms", baseline[1], policy[1], "half", policy[1] * 2 <= baseline[1]);
    report.add(name + ", p99.9 ms", baseline[2], policy[2], "half", policy[2] * 2 <= baseline[2]);
}

void benchOverload(bench_report &report)
{
    const auto atLoad = [](double load, bool isBaseline) -> scenario {
        return [load, isBaseline] {
            request_model_options options{ .load = load, .lengthMs = 6000, .timeoutMs = 300 };
            return isBaseline ? asBaseline(std::move(options)) : options;
        };
    };
    std::array<double, 2> share{};
    std::array<double, 2> added{};
    for (const bool isBaseline : { true, false }) {
        const std::vector<measure> measures{
            [](const auto &result) { return result.goodputPerS; },
            [](const auto &result) { return result.addedLoad; },
        };
        double peak = 0;
        for (const double load : { 0.8, 0.9, 1.0, 1.2, 1.5 })
            peak = std::max(peak, medians(atLoad(load, isBaseline), measures)[0]);
        const auto twice = medians(atLoad(2, isBaseline), measures);
        peak = std::max(peak, twice[0]);
        report.details() << (isBaseline ? "baseline" : "policy") << ": peak goodput " << std::fixed
                         << std::setprecision(0) << peak << "/s, at twice the capacity " << twice[0]
                         << "/s\n";
        share[isBaseline ? 0 : 1] = twice[0] / peak;
        added[isBaseline ? 0 : 1] = twice[1];
    }
    report.add("twice the capacity, goodput / peak", share[0], share[1], ">= 0.9", share[1] >= 0.9);
    report.add("twice the capacity, added dispatches", added[0], added[1], "<= 0.1",
               added[1] <= 0.1);
}

/// Nanoseconds of a decision with its bookkeeping.
double decisionNs(routing_policy &policy)
{
    constexpr endpoint_number endpoints = 1000;
    constexpr int decisions = 200'000;
    instant now;
    for (endpoint_number i = 0; i < endpoints; ++i)
        policy.onReport(now, i, { .local = i % 4 == 0, .slots = 8, .running = i % 7 });
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i) {
        now += duration(20);
        const auto chosen = policy.choose(now, {}).value_or(0);
        policy.onDispatched(now, chosen);
        policy.onEnded(
                now, chosen,
                { .latency = duration(9000 + i % 2000), .serviceTime = duration(8000 + i % 2000) });
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    return spent.count() / decisions;
}

void benchDecision(bench_report &report)
{
    std::array<std::vector<double>, 2> values;
    for (const std::uint64_t seed : seeds) {
        least_connections baseline(seed);
        two_choice_routing policy(seed);
        values[0].push_back(decisionNs(baseline) / 1000);
        values[1].push_back(decisionNs(policy) / 1000);
    }
    for (auto &each : values)
        std::sort(each.begin(), each.end());
    report.add("decision over 1,000 endpoints, us", values[0][2], values[1][2], "<= 2",
               values[1][2] <= 2);
}

} // namespace

void runRoutingBench(bench_report &report)
{
    benchTail(report, "one endpoint ten times slow", [] {
        return request_model_options{ .slowness = [](std::size_t endpoint, std::int64_t nowMs) {
            return endpoint == 0 && nowMs >= 1000 ? 10.0 : 1.0;
        } };
    });
    // Four of eleven endpoints at a third of their speed, and after 5 s four others.
    benchTail(report, "wave of noisy tasks", [] {
        return request_model_options{ .slowness = [](std::size_t endpoint, std::int64_t nowMs) {
            const bool first = nowMs >= 1000 && nowMs < 6000 && endpoint < 4;
            const bool second = nowMs >= 6000 && nowMs < 11'000 && endpoint >= 4 && endpoint < 8;
            return first || second ? 3.0 : 1.0;
        } };
    });
    benchOverload(report);
    benchDecision(report);
}

} // namespace plantainpitch
