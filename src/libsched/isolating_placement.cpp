#include "plantainpitch/sched/placement_policy.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

// Costs are in shares of a VM's processors; a larger one outweighs all smaller ones.
constexpr double farRackPenalty = 1.0;
/// A failed run is tried elsewhere first, in case the worker was at fault.
constexpr double failedHerePenalty = 4.0;
/// A serving task on a VM without others would make that VM useless to filling ones.
constexpr double newServingVmPenalty = 2.0;

/// Filling tasks beside serving ones get at most this share of a VM, and only if no other VM has
/// room: some of their images hardly disturb, and the others are paced down.
constexpr double fillingBesideServing = 0.25;
constexpr double besideServingPenalty = 2.0;

double reservedShare(const worker &candidate)
{
    const auto capacity = std::max<std::int64_t>(candidate.capacity.cpu, 1);
    return static_cast<double>(candidate.used.cpu) / static_cast<double>(capacity);
}

double fillingShare(const worker &candidate)
{
    const auto capacity = std::max<std::int64_t>(candidate.capacity.cpu, 1);
    return static_cast<double>(candidate.fillingCpu) / static_cast<double>(capacity);
}

double cost(const worker &candidate, const step_spec &step)
{
    if (step.fills)
        return reservedShare(candidate) + fillingShare(candidate)
                + (candidate.serving > 0 ? besideServingPenalty : 0);
    if (step.targetMs == 0) // takes processors that no filling task could use
        return candidate.serving > 0 ? reservedShare(candidate)
                                     : 1 + reservedShare(candidate) + fillingShare(candidate);
    // The fullest VM that serves already, else the one where the fewest filling tasks run.
    return candidate.serving > 0 ? 1 - reservedShare(candidate)
                                 : newServingVmPenalty + fillingShare(candidate);
}

} // namespace

bool isolating_placement::admits(const worker &candidate, const step_spec &step) const
{
    if (!step.fills)
        return true;
    const auto cpu = static_cast<std::int64_t>(step.cpu);
    const double most = fillingBesideServing * static_cast<double>(candidate.capacity.cpu);
    if (candidate.serving > 0 && static_cast<double>(candidate.fillingCpu + cpu) > most)
        return false;
    return candidate.leftOverCpu() >= cpu;
}

worker *isolating_placement::choose(const std::vector<worker *> &candidates,
                                    const step_spec &step, const task &previous) const
{
    worker *best = nullptr;
    double lowest = 0;
    for (worker *candidate : candidates) {
        double here = cost(*candidate, step);
        if (!step.preferredRack.empty() && candidate->rack != step.preferredRack)
            here += farRackPenalty;
        if (previous.failures > 0 && candidate->key == previous.place)
            here += failedHerePenalty;
        if (!best || here < lowest) {
            best = candidate;
            lowest = here;
        }
    }
    return best;
}

} // namespace plantainpitch::sched
