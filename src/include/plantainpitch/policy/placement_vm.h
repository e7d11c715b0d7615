#pragma once

#include "plantainpitch/model/resources.h"

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch {

/// State of a VM as input to a placement_policy.
struct placement_vm
{
    std::string vm;
    std::string rack;
    resources capacity;
    resources available;
    bool eligible = true; ///< false: draining, in quarantine or set aside
    std::string serviceTemplate; ///< empty: no service
    double serviceLoad = 0; ///< requests in slots per slot, 0 to 1
    std::map<std::string, std::uint32_t> batchTemplates; ///< running tasks by template

    bool operator==(const placement_vm &) const = default;
};

} // namespace plantainpitch
