#pragma once

#include "plantainpitch/model/resources.h"
#include "plantainpitch/role/worker/worker_task.h"

#include <string>
#include <vector>

namespace plantainpitch {

/// A worker's own account of itself.
struct worker_list
{
    std::string boot; ///< new after each start of the worker
    resources capacity;
    std::string rack;
    std::vector<worker_task> tasks;

    bool operator==(const worker_list &) const = default;
};

} // namespace plantainpitch
