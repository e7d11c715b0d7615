#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/resources.h"

#include <cstdint>

namespace plantainpitch {

/// Sent by an agent every 500 ms.
struct heartbeat
{
    resources available;
    std::uint32_t running = 0; ///< requests in a slot
    std::uint32_t queued = 0;
    bool draining = false;
    std::uint32_t throttlePercent = 0; ///< share of batch processors that is withheld
    log_position configRevision; ///< highest applied

    bool operator==(const heartbeat &) const = default;
};

} // namespace plantainpitch
