#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <string>

namespace plantainpitch {

/// Ends a task for good without success. Accepted if the task is pending and \a base is the
/// position of its last change.
struct task_failed
{
    task_id task;
    log_position base;
    std::string reason;

    bool operator==(const task_failed &) const = default;
};

} // namespace plantainpitch
