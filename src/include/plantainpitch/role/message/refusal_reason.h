#pragma once

namespace plantainpitch {

/// Why an agent did not run a request, or why it has no answer to a request that it ran.
enum class refusal_reason {
    draining, ///< not started
    queue_full, ///< not started
    deadline_unreachable, ///< not started
    expired, ///< not started
    cancelled, ///< not started; cancelled before the dispatch arrived
    duplicate, ///< this dispatch has already been accepted
    unknown_template, ///< not started
    connect_failed, ///< not started; the service did not accept a connection
    service_broken, ///< may have run; the service closed the connection before a complete answer
};

/// Name as it appears in answers, logs and counters, e.g. "queue_full".
const char *toString(refusal_reason reason);

/// True if the request has not run and will not run after a refusal for this reason.
constexpr bool provesNotRun(refusal_reason reason)
{
    return reason != refusal_reason::duplicate && reason != refusal_reason::service_broken;
}

} // namespace plantainpitch
