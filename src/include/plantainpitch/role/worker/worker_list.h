#pragma once

#include "plantainpitch/model/resources.h"
#include "plantainpitch/role/worker/worker_task.h"

#include <string>
#include <vector>

namespace plantainpitch {

/// The state that a worker reports: its boot id, capacity, rack and tasks.
struct worker_list
{
    std::string boot; ///< boot id, changes with each start of the worker
    resources capacity;
    std::string rack;
    std::vector<worker_task> tasks;

    bool operator==(const worker_list &) const = default;
};

} // namespace plantainpitch
