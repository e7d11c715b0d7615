#include "plantainpitch/sched/placement_policy.h"

#include <algorithm>
#include <limits>
#include <set>

namespace plantainpitch::sched {

namespace {

// Costs are in shares of a VM's processors; a larger one outweighs all smaller ones.
constexpr double farRackPenalty = 1.0;
/// A failed run is tried elsewhere first, in case the worker was at fault.
constexpr double failedHerePenalty = 4.0;
/// A serving task on a VM without others would make that VM useless to filling ones.
constexpr double newServingVmPenalty = 2.0;

/// A VM that serves another image disturbs fewer filling images than a new one would.
constexpr double otherImagePenalty = 1.0;
constexpr double besideServingPenalty = 2.0;

/// Headroom that has to be left beside a task that takes one or more, and beside one that takes
/// none; between them in between.
constexpr double goalBesideDisturbing = 1.7;
constexpr double goalBesideHarmless = 1.25;
/// Less headroom than this is lost by a task that hardly disturbs.
constexpr double harmless = 0.15;
/// Assumed of serving tasks that have not reported yet.
constexpr double unreportedHeadroom = 3;
/// How far the present trend of the headroom is followed, at most.
constexpr double longestOutlookSeconds = 2.5;

/// Part of the VM's processors, which are never none.
double shareOf(const worker &where, std::int64_t cpu)
{
    return static_cast<double>(cpu)
           / static_cast<double>(std::max<std::int64_t>(where.capacity.cpu, 1));
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

double disturbance(const disturbance_model &model, const worker &where, const step_spec &step)
{
    const double share = shareOf(where, step.cpu);
    double worst = 0;
    for (const auto &[serving, count] : where.servingImages)
        worst = std::max(worst, share * model.loss(serving, imageOf(step)));
    return worst;
}

/// The least headroom that the serving tasks there are expected to have beside one more task of the
/// step while it runs.
double isolating_placement::headroomWith(const worker &where, const step_spec &step) const
{
    const auto lossOf = [&](const std::string &serving) {
        double lost = shareOf(where, step.cpu) * m_model.loss(serving, imageOf(step));
        for (const recent_filling &each : where.recentFilling)
            lost += shareOf(where, each.cpu) * m_model.loss(serving, each.image);
        return lost;
    };
    const double outlook = std::min(longestOutlookSeconds, step.estimateMs / 1000.0);
    double least = std::numeric_limits<double>::infinity();
    std::set<std::string> reported;
    for (const serving_headroom &each : where.headrooms) {
        reported.insert(each.image);
        const double falling = std::min(0.0, m_model.trend(each.image, each.job)) * outlook;
        least = std::min(least, each.headroom + falling - lossOf(each.image));
    }
    for (const auto &[serving, count] : where.servingImages) {
        if (reported.count(serving) == 0)
            least = std::min(least, unreportedHeadroom - lossOf(serving));
    }
    return least;
}

double isolating_placement::cost(const worker &candidate, const step_spec &step) const
{
    if (step.fills && candidate.serving == 0)
        return reservedShare(candidate) + fillingShare(candidate);
    if (step.fills) {
        // VMs without serving tasks are left to images that disturb.
        return disturbance(m_model, candidate, step) < harmless
                       ? fillingShare(candidate) - 1
                       : besideServingPenalty - std::min(1.0, headroomWith(candidate, step) / 4);
    }
    if (step.targetMs == 0) // takes processors that no filling task could use
        return candidate.serving > 0 ? reservedShare(candidate)
                                     : 1 + reservedShare(candidate) + fillingShare(candidate);
    // The fullest VM that serves the image already, then one that serves others, else the one where
    // the fewest filling tasks run.
    if (candidate.serving == 0)
        return newServingVmPenalty + fillingShare(candidate);
    const bool sameImage = candidate.servingImages.count(imageOf(step)) > 0;
    return (sameImage ? 0 : otherImagePenalty) - reservedShare(candidate);
}

bool isolating_placement::admits(const worker &candidate, const step_spec &step, bool starved) const
{
    if (!step.fills)
        return true;
    if (candidate.leftOverCpu() < static_cast<std::int64_t>(step.cpu))
        return false;
    if (starved || candidate.serving == 0)
        return true;
    const double disturbs = std::min(1.0, disturbance(m_model, candidate, step));
    return headroomWith(candidate, step)
           >= goalBesideHarmless + disturbs * (goalBesideDisturbing - goalBesideHarmless);
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
