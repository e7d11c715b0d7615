#include "plantainpitch/sched/waiting_order.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

// Exceed any difference of rank within a priority or a lateness class.
constexpr double priorityStep = 1e9;
constexpr double latenessStep = 1e8;
// A job's worth has a fixed part and a part proportional to its work relative to its queue's mean.
constexpr double fixedWorth = 0.3;
constexpr double maxWorth = 4;

/// Returns 0 if the job can meet its objective, 1 if it will be late but still of use, 2 otherwise.
int lateness(const job &candidate, instant now)
{
    if (candidate.isLongRunning())
        return 0; // its objective is for a completion that it never has
    const instant end = now + std::chrono::milliseconds(candidate.remainingChainMs());
    if (end <= candidate.objective)
        return 0;
    return end <= candidate.lastUsefulEnd() ? 1 : 2;
}

double worth(const job &candidate, double meanWork)
{
    const double relative = meanWork > 0 ? candidate.estimatedWork() / meanWork : 1;
    return std::min(maxWorth, fixedWorth + (1 - fixedWorth) * relative);
}

} // namespace

double worth_order::rank(const job &candidate, const queue_view &queue, instant now) const
{
    return queue.config->priority * priorityStep + lateness(candidate, now) * latenessStep
           + candidate.remainingWork() / worth(candidate, queue.meanWork);
}

} // namespace plantainpitch::sched
