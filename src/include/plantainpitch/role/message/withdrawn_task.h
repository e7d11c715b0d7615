#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

namespace plantainpitch {

enum class withdrawal {
    revoked, ///< stop, then release
    cancelled, ///< stop, then release with the reason cancelled
    not_held, ///< the log names another holder or the task has ended: stop, then forget
    other_agent, ///< the claim belongs to another agent process on the same VM
};

/// A claim that an authority_grant does not confirm.
struct withdrawn_task
{
    task_id task;
    log_position attempt;
    withdrawal reason = withdrawal::not_held;

    bool operator==(const withdrawn_task &) const = default;
};

} // namespace plantainpitch
