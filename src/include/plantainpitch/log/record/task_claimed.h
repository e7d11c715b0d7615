#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Claims a task for a VM. Accepted if the task is pending or revoking and \a base is the
/// position of its last change. The position of an accepted claim is the attempt number.
struct task_claimed
{
    task_id task;
    std::string vm;
    std::uint64_t agent = 0; ///< incarnation of the agent
    std::string workerBoot;
    log_position base;

    bool operator==(const task_claimed &) const = default;
};

} // namespace plantainpitch
