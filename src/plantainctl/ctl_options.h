#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch::ctl {

struct ctl_options
{
    std::string server = "127.0.0.1:7001"; ///< administration port of any entry
    std::string output = "text"; ///< text or json
    std::string jobId; ///< submit: makes the submission idempotent; empty: none
    std::int64_t baseRevision = -1; ///< publish; -1: the current one
    std::int64_t timeoutMs = 10'000;
};

} // namespace plantainpitch::ctl
