#include "plantainpitch/sched/placement_policy.h"

#include <algorithm>
#include <limits>
#include <set>

namespace plantainpitch::sched {

namespace {

// Costs are in shares of a VM's processors; a larger one outweighs all smaller ones.
constexpr double farRackPenalty = 1.0;
/// A failed or refused run is retried on another worker first, in case the worker was at fault.
constexpr double failedHerePenalty = 4.0;
/// A serving task on a VM without others would make the VM unsuitable for filling tasks.
constexpr double newServingVmPenalty = 2.0;

/// A VM that serves another image disturbs fewer filling images than a new one would.
constexpr double otherImagePenalty = 1.0;
constexpr double besideServingPenalty = 2.0;

// Headroom that must remain beside a filling task that takes 1 or more, and beside one that takes
// none; interpolated between them. At 1 the serving task is at its target; agents slow filling
// tasks down before that (see pacing).
constexpr double minHeadroomDisturbing = 1.2;
constexpr double minHeadroomHarmless = 1.0;
/// A task that takes less headroom than this hardly disturbs.
constexpr double maxHarmlessLoss = 0.15;
/// Headroom assumed for serving tasks that have not reported yet.
constexpr double unreportedHeadroom = 3;
/// Limit for the extrapolation of the current headroom trend.
constexpr double maxForecastSeconds = 2.5;

/// Returns \a cpu as a share of the VM's processors; treats a capacity of 0 as 1.
double shareOf(const worker &candidate, std::int64_t cpu)
{
    return static_cast<double>(cpu)
           / static_cast<double>(std::max<std::int64_t>(candidate.capacity.cpu, 1));
}

double reservedShare(const worker &candidate)
{
    return shareOf(candidate, candidate.used.cpu);
}

double fillingShare(const worker &candidate)
{
    return shareOf(candidate, candidate.fillingCpu);
}

} // namespace

double disturbance(const disturbance_model &model, const worker &candidate, const step_spec &step)
{
    const double share = shareOf(candidate, step.cpu);
    double worst = 0;
    for (const auto &[serving, count] : candidate.servingImages)
        worst = std::max(worst, share * model.loss(serving, imageOf(step)));
    return worst;
}

/// Returns the lowest headroom expected of the worker's serving tasks while one more task of the
/// step runs there.
double isolating_placement::expectedHeadroom(const worker &candidate, const step_spec &step) const
{
    const auto lossOf = [&](const std::string &serving) {
        double lost = shareOf(candidate, step.cpu) * m_model.loss(serving, imageOf(step));
        for (const recent_filling &each : candidate.recentFilling)
            lost += shareOf(candidate, each.cpu) * m_model.loss(serving, each.image);
        return lost;
    };
    const double forecastSeconds = std::min(maxForecastSeconds, step.estimateMs / 1000.0);
    double least = std::numeric_limits<double>::infinity();
    std::set<std::string> reported;
    for (const serving_headroom &each : candidate.headrooms) {
        reported.insert(each.image);
        const double trendChange =
                std::min(0.0, m_model.trend(each.image, each.job)) * forecastSeconds;
        least = std::min(least, each.headroom + trendChange - lossOf(each.image));
    }
    for (const auto &[serving, count] : candidate.servingImages) {
        if (reported.count(serving) == 0)
            least = std::min(least, unreportedHeadroom - lossOf(serving));
    }
    return least;
}

double isolating_placement::cost(const worker &candidate, const step_spec &step) const
{
    if (step.fills && candidate.servingRuns == 0)
        return reservedShare(candidate) + fillingShare(candidate);
    if (step.fills) {
        // VMs without serving tasks are left to images that disturb.
        return disturbance(m_model, candidate, step) < maxHarmlessLoss
                       ? fillingShare(candidate) - 1
                       : besideServingPenalty
                                 - std::min(1.0, expectedHeadroom(candidate, step) / 4);
    }
    if (step.targetMs == 0) // prefers processors that no filling task can use
        return candidate.servingRuns > 0 ? reservedShare(candidate)
                                         : 1 + reservedShare(candidate) + fillingShare(candidate);
    // Prefer the fullest VM that already serves the image, then one that serves other images, then
    // the VM with the smallest share of filling tasks.
    if (candidate.servingRuns == 0)
        return newServingVmPenalty + fillingShare(candidate);
    const bool sameImage = candidate.servingImages.count(imageOf(step)) > 0;
    return (sameImage ? 0 : otherImagePenalty) - reservedShare(candidate);
}

bool isolating_placement::admits(const worker &candidate, const step_spec &step,
                                 const placement_terms &terms) const
{
    if (!step.fills)
        return true;
    if (!terms.mayShareLeftOver && candidate.leftOverCpu() < static_cast<std::int64_t>(step.cpu))
        return false;
    if (terms.starved || candidate.servingRuns == 0)
        return true;
    const double disturbs = std::min(1.0, disturbance(m_model, candidate, step));
    return expectedHeadroom(candidate, step)
           >= minHeadroomHarmless + disturbs * (minHeadroomDisturbing - minHeadroomHarmless);
}

worker *isolating_placement::choose(const std::vector<worker *> &candidates, const step_spec &step,
                                    const task &previous) const
{
    worker *best = nullptr;
    double bestCost = 0;
    for (worker *candidate : candidates) {
        double candidateCost = cost(*candidate, step);
        if (!step.preferredRack.empty() && candidate->rack != step.preferredRack)
            candidateCost += farRackPenalty;
        if ((previous.failures > 0 || previous.refused) && candidate->key == previous.place)
            candidateCost += failedHerePenalty;
        if (!best || candidateCost < bestCost) {
            best = candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

} // namespace plantainpitch::sched
