#pragma once

#include "plantainpitch/log/task_phase.h"
#include "plantainpitch/model/log_position.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch {

/// Folded state of one task.
struct task_state
{
    task_phase phase = task_phase::pending;
    log_position lastChange;
    log_position attempt; ///< position of the current claim; none if never claimed
    log_position claimBase; ///< base of the current claim; a repeated claim is recognised by it
    std::string vm; ///< holder of the current claim
    std::uint64_t agent = 0;
    std::string workerBoot;
    log_position releasedAttempt; ///< last attempt that was released; recognises a repeated release
    std::string checkpoint;
    std::string result; ///< result, or reason of the failure
    std::uint32_t attempts = 0; ///< claims so far
    std::uint32_t failures = 0;
    std::vector<std::string> failedVms; ///< distinct VMs on which the task failed, at most 8

    bool operator==(const task_state &) const = default;
};

} // namespace plantainpitch
