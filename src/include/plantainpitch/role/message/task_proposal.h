#pragma once

#include "plantainpitch/log/record/job_submitted.h"
#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Asks an agent to claim and run a task.
struct task_proposal
{
    task_id task;
    job_submitted job;
    log_position base; ///< last change of the task
    std::string checkpoint; ///< empty: start from the beginning
    bool afterRevocation = false; ///< base is a revocation without a release
    std::int64_t revocationAgeUs = 0; ///< time since the sender read the revocation

    bool operator==(const task_proposal &) const = default;
};

} // namespace plantainpitch
