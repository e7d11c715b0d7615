#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"
#include "plantainpitch/role/worker/worker_task_state.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// A task as the worker reports it.
struct worker_task
{
    task_id task;
    log_position attempt;
    resources reserved;
    worker_task_state state = worker_task_state::running;
    std::int64_t leaseUntilUs = 0; ///< worker clock
    std::string checkpoint; ///< last checkpoint; empty: none
    std::string result;

    bool operator==(const worker_task &) const = default;
};

} // namespace plantainpitch
