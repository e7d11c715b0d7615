#pragma once

#include "plantainpitch/role/worker/usage_sample.h"
#include "plantainpitch/role/worker/worker_call.h"
#include "plantainpitch/role/worker/worker_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch {

enum class worker_result {
    ok,
    rejected, ///< the worker answered with an error: the call had no effect
    no_answer, ///< the call may have taken effect
};

struct worker_answer
{
    std::uint64_t callId = 0;
    worker_operation operation = worker_operation::list;
    task_id task;
    worker_result result = worker_result::no_answer;
    std::int64_t workerClockUs = 0; ///< 0: the worker was not reached
    std::string checkpoint; ///< checkpoint, stop: the new checkpoint
    std::string problem; ///< rejected: error text of the worker
    std::optional<worker_list> list; ///< list
    std::vector<usage_sample> usage; ///< usage

    bool operator==(const worker_answer &) const = default;
};

} // namespace plantainpitch
