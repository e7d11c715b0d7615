#pragma once

#include "plantainpitch/model/priority.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// A job with tasks that wait for placement. Times are wall clock, milliseconds since 1970.
struct batch_candidate
{
    std::string job;
    std::string templateName;
    std::string team;
    priority taskPriority = priority::normal;
    std::int64_t submittedMs = 0;
    std::int64_t deadlineMs = 0; ///< 0: none
    std::int64_t expectedRunTimeMs = 0; ///< as declared
    std::uint32_t waitingTasks = 0;

    bool operator==(const batch_candidate &) const = default;
};

} // namespace plantainpitch
