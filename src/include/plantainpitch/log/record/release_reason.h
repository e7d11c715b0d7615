#pragma once

namespace plantainpitch {

/// Why a holder gave a task back.
enum class release_reason {
    evicted, ///< interference or lack of room
    drained, ///< the VM is leaving
    authority_lapsed, ///< the holder could not confirm its claim in time
    start_failed, ///< the worker refused or lost the start
    task_failed, ///< the task ended with an error
    worker_rebooted, ///< the worker has a new boot id, so the task is gone
    revoked, ///< answer to a revocation
    cancelled,
};

/// True for reasons that count against the task and the VM.
constexpr bool countsAsFailure(release_reason reason)
{
    return reason == release_reason::start_failed || reason == release_reason::task_failed;
}

/// Name as it appears in logs and counters, e.g. "task_failed".
const char *toString(release_reason reason);

} // namespace plantainpitch
