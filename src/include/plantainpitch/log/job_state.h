#pragma once

#include "plantainpitch/log/record/job_submitted.h"
#include "plantainpitch/log/task_state.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// Folded state of one job.
struct job_state
{
    job_submitted description;
    std::vector<task_state> tasks;
    bool cancelled = false;
    std::uint32_t openTasks = 0; ///< tasks that are not in a final phase

    bool operator==(const job_state &) const = default;
};

} // namespace plantainpitch
