#include "capacity_loop.h"
#include "capacity_parts.h"
#include "slope_table.h"

#include <ostream>

namespace plantainpitch {

namespace {

/// Milliseconds a second of the entry's processor time while tasks wait for room: each VM runs a
/// small task, and those that wait need a whole VM.
double waitingMs(std::size_t agents, std::size_t waiting)
{
    constexpr std::int64_t wholeVm = 32'000;
    constexpr int measuredSeconds = 10;
    capacity_loop loop(agents);
    loop.submitJobs(2 * agents);
    loop.run(std::chrono::seconds(5));
    loop.submitJobs(waiting, wholeVm);
    loop.run(std::chrono::seconds(5));
    const double before = loop.counts().entrySeconds;
    loop.run(std::chrono::seconds(measuredSeconds));
    return (loop.counts().entrySeconds - before) * 1e3 / measuredSeconds;
}

} // namespace

void measureBacklog(std::ostream &out)
{
    printSlopeHeader(out, "1,000 agents, one entry; size: tasks that wait for room");
    std::vector<size_sample> samples;
    for (const std::size_t waiting : { 0, 1000, 4000 })
        samples.push_back({ static_cast<double>(waiting), waitingMs(1000, waiting) });
    printSlope(out, "entry processor time", "ms/s per task", samples);
}

} // namespace plantainpitch
