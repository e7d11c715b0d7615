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

constexpr double besideServingPenalty = 2.0;
/// Share of a latency target that serving tasks may be expected to reach; the rest is for waves.
constexpr double latencyGoal = 0.6;
/// An image that adds less than this share of a target does not count as disturbing.
constexpr double harmless = 0.03;

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

} // namespace

/// What one more task of the image adds to the worst latency there, in shares of the target.
double isolating_placement::disturbance(const worker &where, const std::string &image) const
{
    double worst = 0;
    for (const auto &[serving, count] : where.servingImages)
        worst = std::max(worst, m_model.added(serving, 0, { { image, 1 } }));
    return worst;
}

/// The worst expected latency of the serving tasks there with one more task of the image. Their own
/// load moves it more than most images do, so the last measurement is a better base than the mean.
double isolating_placement::latencyWith(const worker &where, const std::string &image) const
{
    const bool measured = where.reportedLatency > 0;
    auto filling = measured ? where.filledSinceReport : where.fillingImages;
    ++filling[image];
    double worst = 0;
    for (const auto &[serving, count] : where.servingImages) {
        const double base = measured ? where.reportedLatency : m_model.alone(serving, 0);
        worst = std::max(worst, base + m_model.added(serving, 0, filling));
    }
    return worst;
}

double isolating_placement::cost(const worker &candidate, const step_spec &step) const
{
    if (step.fills && candidate.serving == 0)
        return reservedShare(candidate) + fillingShare(candidate);
    if (step.fills) {
        const double disturbs = disturbance(candidate, imageOf(step));
        // VMs without serving tasks are left to images that disturb.
        return disturbs < harmless ? fillingShare(candidate) - 1
                                   : besideServingPenalty + latencyWith(candidate, imageOf(step));
    }
    if (step.targetMs == 0) // takes processors that no filling task could use
        return candidate.serving > 0 ? reservedShare(candidate)
                                     : 1 + reservedShare(candidate) + fillingShare(candidate);
    // The fullest VM that serves already, else the one where the fewest filling tasks run.
    return candidate.serving > 0 ? 1 - reservedShare(candidate)
                                 : newServingVmPenalty + fillingShare(candidate);
}

bool isolating_placement::admits(const worker &candidate, const step_spec &step) const
{
    if (!step.fills)
        return true;
    if (candidate.leftOverCpu() < static_cast<std::int64_t>(step.cpu))
        return false;
    return candidate.serving == 0 || latencyWith(candidate, imageOf(step)) <= latencyGoal;
}

worker *isolating_placement::choose(const std::vector<worker *> &candidates, const step_spec &step,
                                    const task &previous) const
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
