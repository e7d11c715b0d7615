#include "plantainpitch/sched/crash_suspects.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// A task that crashes its worker does so right after its start.
constexpr milliseconds suspicionWindow{ 500 };
/// A run that was started this long before a trial would have crashed the worker before it.
constexpr milliseconds trialLead{ 150 };
/// A worker that crashes by chance during a trial rarely does so this soon after its start.
constexpr milliseconds atOnceWindow{ 150 };
/// Conclusive crashes after which a task is given up. One of them happens by chance to a task in
/// some hundreds that are on trial while workers crash.
constexpr std::uint32_t conclusiveCrashes = 2;
/// The same for crashes of all kinds, if the last one came alone ...
constexpr std::uint32_t maxCrashes = 4;
/// ... and if other workers crashed at the same moment. Workers may crash at five starts of a task.
constexpr std::uint32_t maxCoincidingCrashes = 5;

} // namespace

crash_suspects findCrashSuspects(const std::vector<run_at_crash> &runs)
{
    duration window = suspicionWindow;
    for (const run_at_crash &each : runs) {
        if (each.trial && each.age <= suspicionWindow)
            window = std::min<duration>(window, each.age + trialLead);
    }
    crash_suspects result;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (runs[index].age <= window)
            result.runs.push_back(index);
    }
    if (result.runs.empty())
        return result;
    const std::string &unit = runs[result.runs.front()].unit;
    result.alone = std::all_of(result.runs.begin(), result.runs.end(),
                               [&](std::size_t index) { return runs[index].unit == unit; });
    result.atOnce = std::any_of(result.runs.begin(), result.runs.end(),
                                [&](std::size_t index) { return runs[index].age <= atOnceWindow; });
    return result;
}

bool isGivenUp(const crash_evidence &evidence)
{
    return evidence.conclusive >= conclusiveCrashes
           || evidence.crashes >= (evidence.coincides ? maxCoincidingCrashes : maxCrashes);
}

} // namespace plantainpitch::sched
