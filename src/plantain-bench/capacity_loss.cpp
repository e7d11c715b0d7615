#include "capacity_loop.h"
#include "capacity_parts.h"
#include "slope_table.h"

#include <algorithm>
#include <ostream>

namespace plantainpitch {

namespace {

constexpr std::size_t tasksPerVm = 20;

struct loss_costs
{
    double recoveredS = 0; ///< virtual time until all tasks run again
    double entrySeconds = 0; ///< processor time meanwhile
    double longestTickMs = 0; ///< processor time of the entry in one tick of 50 ms
    double appends = 0;
    double bytes = 0;
    double missing = 0; ///< tasks that did not run at the end
};

loss_costs lose(std::size_t agents)
{
    capacity_loop loop(agents);
    const std::size_t tasks = agents * tasksPerVm;
    loop.submitJobs(tasks);
    loop.run(std::chrono::seconds(20));
    const double entryBefore = loop.counts().entrySeconds;
    const std::uint64_t appendsBefore = loop.log().appends();
    const std::uint64_t bytesBefore = loop.log().appendedBytes();
    loop.loseVms(agents / 4);
    loss_costs costs;
    constexpr double tickS = 0.05;
    constexpr double limitS = 60;
    while (loop.runningTasks() < tasks && costs.recoveredS < limitS) {
        const double begin = loop.counts().entrySeconds;
        loop.run(std::chrono::milliseconds(50));
        costs.longestTickMs =
                std::max(costs.longestTickMs, (loop.counts().entrySeconds - begin) * 1e3);
        costs.recoveredS += tickS;
    }
    costs.entrySeconds = loop.counts().entrySeconds - entryBefore;
    costs.appends = static_cast<double>(loop.log().appends() - appendsBefore);
    costs.bytes = static_cast<double>(loop.log().appendedBytes() - bytesBefore);
    costs.missing = static_cast<double>(tasks - loop.runningTasks());
    return costs;
}

} // namespace

void measureLoss(std::ostream &out)
{
    std::vector<std::pair<double, loss_costs>> costs;
    for (const std::size_t agents : { 100, 400, 1200 }) {
        const std::size_t lost = agents / 4;
        costs.emplace_back(static_cast<double>(lost * tasksPerVm), lose(agents));
    }
    printSlopeHeader(out, "a quarter of the VMs fails, one entry; size: tasks to move");
    const auto row = [&](const char *measure, const char *unit, double loss_costs::*field) {
        std::vector<size_sample> samples;
        samples.reserve(costs.size());
        for (const auto &[tasks, cost] : costs)
            samples.push_back({ tasks, cost.*field });
        printSlope(out, measure, unit, samples);
    };
    row("time until all run again", "s per task", &loss_costs::recoveredS);
    row("entry processor time until then", "s per task", &loss_costs::entrySeconds);
    row("entry processor time of the longest tick", "ms per task", &loss_costs::longestTickMs);
    row("appends until then", "1 per task", &loss_costs::appends);
    row("bytes appended until then", "B per task", &loss_costs::bytes);
    row("tasks not running after 60 s", "1 per task", &loss_costs::missing);
}

} // namespace plantainpitch
