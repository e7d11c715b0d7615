#include "plantainpitch/sched/waiting_order.h"

namespace plantainpitch::sched {

namespace {

/// Exceeds any difference between objectives, so that priority always decides first.
constexpr double priorityStepSeconds = 1e6;

} // namespace

double deadline_order::rank(const job &candidate, const queue_view &queue, instant now) const
{
    const std::chrono::duration<double> left = candidate.objective - now;
    return queue.config->priority * priorityStepSeconds + left.count();
}

} // namespace plantainpitch::sched
