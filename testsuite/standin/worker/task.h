#pragma once

#include "command.h"
#include "plantainpitch/model/resources.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace plantainpitch::standin {

/// Processors that a task used in a past period.
struct usage_period
{
    std::int64_t fromUs = 0;
    std::int64_t toUs = 0;
    std::int64_t processorsMilli = 0;
};

/// One attempt of a task on the worker.
struct task
{
    std::string id; ///< job/index
    std::uint64_t attempt = 0;
    resources reserved;
    command work;
    std::string state = "running"; ///< running, finished, failed, stopped, lease_expired
    std::int64_t leaseUntilUs = 0;
    std::int64_t progressUs = 0;
    std::int64_t throttlePercent = 0;
    std::string checkpoint;
    std::string result;
    std::int64_t startedUs = 0;
    std::int64_t advancedToUs = 0;
    std::deque<usage_period> usage;

    [[nodiscard]] bool isRunning() const { return state == "running"; }
    /// Member of the list in GET /v1/worker.
    [[nodiscard]] boost::json::object toJson() const;
};

} // namespace plantainpitch::standin
