#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch {

/// Parameters with which a template is instantiated for one client account.
struct work_parameters
{
    std::string account;
    std::string templateName;
    std::map<std::string, std::string> values; ///< opaque to the scheduler; given to the work
    std::uint32_t taskCount = 1;
    std::int64_t deadlineMs = 0; ///< time from submission to the deadline; 0: none
    std::uint32_t maxRunningTasks = 0; ///< quota of the account; 0: none

    bool operator==(const work_parameters &) const = default;
};

} // namespace plantainpitch
