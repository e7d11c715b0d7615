#pragma once

#include "plantainpitch/model/task_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Resource usage of one task over a past period.
struct usage_sample
{
    task_id task;
    std::int64_t fromUs = 0; ///< worker clock
    std::int64_t toUs = 0; ///< worker clock
    std::int64_t processorsMilli = 0; ///< average
    std::int64_t memoryBytes = 0; ///< peak

    bool operator==(const usage_sample &) const = default;
};

} // namespace plantainpitch
