#pragma once

namespace plantainpitch {

/// Why an agent did not run a request, or why its run has no answer.
enum class refusal_reason {
    draining, ///< not started
    queue_full, ///< not started
    deadline_unreachable, ///< not started
    expired, ///< not started
    cancelled, ///< not started; a cancellation came first
    duplicate, ///< this dispatch has already been accepted
    unknown_template, ///< not started
    connect_failed, ///< not started; the service did not accept a connection
    service_broken, ///< may have run: the service broke off without a whole answer
};

/// Name as it appears in answers, logs and counters, e.g. "queue_full".
const char *toString(refusal_reason reason);

/// True if the request certainly did not run and will not.
constexpr bool provesNotRun(refusal_reason reason)
{
    return reason != refusal_reason::duplicate && reason != refusal_reason::service_broken;
}

} // namespace plantainpitch
