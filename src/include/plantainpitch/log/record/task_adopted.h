#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Hands a claim to a new agent process on the same VM while the same worker boot runs the task.
/// Accepted if the task is claimed with that attempt, VM and worker boot.
struct task_adopted
{
    task_id task;
    log_position attempt;
    std::string vm;
    std::uint64_t agent = 0;
    std::string workerBoot;

    bool operator==(const task_adopted &) const = default;
};

} // namespace plantainpitch
