#pragma once

#include "plantainpitch/model/resources.h"
#include "plantainpitch/role/connection_id.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// State of a VM as last reported to an entry. May be outdated: the agent decides.
struct vm_info
{
    connection_id connection = 0;
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::uint64_t agentIncarnation = 0;
    std::string workerBoot;
    resources capacity;
    resources available;
    bool draining = false;
    std::string templateName; ///< service template on the VM; empty if none
    std::uint32_t runningRequests = 0;

    bool operator==(const vm_info &) const = default;
};

} // namespace plantainpitch
