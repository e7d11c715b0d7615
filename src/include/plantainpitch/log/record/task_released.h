#pragma once

#include "plantainpitch/log/record/release_reason.h"
#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <string>

namespace plantainpitch {

/// The holder's statement that the task no longer runs on its VM. Accepted if the task is claimed
/// or revoking with that attempt.
struct task_released
{
    task_id task;
    log_position attempt;
    std::string checkpoint; ///< empty: the task starts from its previous checkpoint
    release_reason reason = release_reason::evicted;

    bool operator==(const task_released &) const = default;
};

} // namespace plantainpitch
