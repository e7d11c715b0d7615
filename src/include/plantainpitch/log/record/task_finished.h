#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <string>

namespace plantainpitch {

/// The task ran to its end. Accepted if the task is claimed or revoking with that attempt.
struct task_finished
{
    task_id task;
    log_position attempt;
    std::string result;

    bool operator==(const task_finished &) const = default;
};

} // namespace plantainpitch
