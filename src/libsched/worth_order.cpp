#include "plantainpitch/sched/waiting_order.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

// Wider than any difference within a priority or a class of lateness.
constexpr double betweenPriorities = 1e9;
constexpr double betweenLateness = 1e8;
/// An end up to so many times the objective still has some worth.
constexpr std::int64_t lateFactor = 3;
// A job's worth: a fixed part, and the rest by its work against the mean of its queue.
constexpr double fixedWorth = 0.3;
constexpr double largestWorth = 4;

/// 0: can meet the objective, 1: can end late, 2: neither.
int lateness(const job &candidate, instant now)
{
    const instant end = now + std::chrono::milliseconds(candidate.remainingChainMs());
    if (end <= candidate.objective)
        return 0;
    const instant latest =
            candidate.received + lateFactor * (candidate.objective - candidate.received);
    return end <= latest ? 1 : 2;
}

double worth(const job &candidate, double meanWork)
{
    const double relative = meanWork > 0 ? candidate.estimatedWork() / meanWork : 1;
    return std::min(largestWorth, fixedWorth + (1 - fixedWorth) * relative);
}

} // namespace

double worth_order::rank(const job &candidate, const queue_view &queue, instant now) const
{
    return queue.config->priority * betweenPriorities + lateness(candidate, now) * betweenLateness
           + candidate.remainingWork() / worth(candidate, queue.meanWork);
}

} // namespace plantainpitch::sched
