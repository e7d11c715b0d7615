#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <string>

namespace plantainpitch {

/// Withdraws a claim. Accepted if the task is claimed with that attempt. The task may be claimed
/// again after the holder's release, or after the authority term has passed.
struct task_revoked
{
    task_id task;
    log_position attempt;
    std::string reason;

    bool operator==(const task_revoked &) const = default;
};

} // namespace plantainpitch
