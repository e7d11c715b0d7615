#pragma once

#include "plantainpitch/role/connection_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// An endpoint as the entries know it. A hint: the agent decides.
struct endpoint_info
{
    connection_id connection = 0;
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::uint64_t incarnation = 0; ///< of the agent
    std::string templateName;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t running = 0; ///< requests of all entries, as last reported
    std::uint32_t queued = 0;
    bool draining = false;

    bool operator==(const endpoint_info &) const = default;
};

} // namespace plantainpitch
