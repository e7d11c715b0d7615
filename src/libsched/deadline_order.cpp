#include "plantainpitch/sched/waiting_order.h"

namespace plantainpitch::sched {

namespace {

/// Wider than any difference between objectives, so that priorities never mix.
constexpr double secondsBetweenPriorities = 1e6;

} // namespace

double deadline_order::rank(const job &candidate, const queue_view &queue, instant now) const
{
    const std::chrono::duration<double> left = candidate.objective - now;
    return queue.config->priority * secondsBetweenPriorities + left.count();
}

} // namespace plantainpitch::sched
