#include "plantainpitch/sched/placement_policy.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// A task away from its data takes longer, so a nearly full VM near the data is preferred.
constexpr double farRackPenalty = 1.0;
/// A failed run is retried on another worker first, in case the worker was at fault.
constexpr double failedHerePenalty = 2.0;

double load(const worker &candidate)
{
    const double cpu = static_cast<double>(candidate.used.cpu + candidate.fillingCpu)
                       / static_cast<double>(std::max<std::int64_t>(candidate.capacity.cpu, 1));
    const double memory =
            static_cast<double>(candidate.used.memoryMb)
            / static_cast<double>(std::max<std::int64_t>(candidate.capacity.memoryMb, 1));
    return std::max(cpu, memory);
}

} // namespace

worker *spread_placement::choose(const std::vector<worker *> &candidates, const step_spec &step,
                                 const task &previous) const
{
    worker *best = nullptr;
    double bestCost = 0;
    for (worker *candidate : candidates) {
        double cost = load(*candidate);
        if (!step.preferredRack.empty() && candidate->rack != step.preferredRack)
            cost += farRackPenalty;
        if (previous.failures > 0 && candidate->key == previous.place)
            cost += failedHerePenalty;
        if (!best || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace plantainpitch::sched
