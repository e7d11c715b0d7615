#pragma once

#include "plantainpitch/role/connection_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Endpoint state as last reported to an entry. It may be stale: entries use it only to choose an
/// endpoint, and the agent decides whether to admit the request.
struct endpoint_info
{
    connection_id connection = 0;
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::uint64_t incarnation = 0; ///< of the agent process
    std::string templateName;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t running = 0; ///< requests from all entries, as last reported
    std::uint32_t queued = 0;
    bool draining = false;

    bool operator==(const endpoint_info &) const = default;
};

} // namespace plantainpitch
