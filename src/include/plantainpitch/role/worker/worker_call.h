#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

enum class worker_operation { list, start, renew, checkpoint, throttle, stop, forget, usage };

/// Call that the shell makes to the worker. Fields that an operation does not use are empty.
struct worker_call
{
    std::uint64_t callId = 0;
    worker_operation operation = worker_operation::list;
    task_id task;
    log_position attempt;
    resources reserved; ///< start
    std::int64_t leaseUntilUs = 0; ///< start, renew; worker clock
    std::string checkpoint; ///< start: checkpoint to resume from
    std::string command; ///< start
    std::uint32_t throttlePercent = 0; ///< throttle: share of processors withheld, 0 to 100

    bool operator==(const worker_call &) const = default;
};

} // namespace plantainpitch
