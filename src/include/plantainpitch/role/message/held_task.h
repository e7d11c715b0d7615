#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

namespace plantainpitch {

/// A claim that an agent holds.
struct held_task
{
    task_id task;
    log_position attempt;

    bool operator==(const held_task &) const = default;
};

} // namespace plantainpitch
