#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/resources.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// An agent's description of its VM and endpoint; sent after hello and whenever it changes.
struct announce
{
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::uint64_t incarnation = 0;
    std::string workerBoot; ///< empty: the worker has not answered yet
    resources capacity;
    resources available;
    std::string templateName; ///< service that runs on this VM; empty: none
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool draining = false;
    log_position configRevision; ///< highest applied

    bool operator==(const announce &) const = default;
};

} // namespace plantainpitch
