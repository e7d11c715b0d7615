#pragma once

#include "plantainpitch/model/request_id.h"
#include "plantainpitch/role/message/refusal_reason.h"

#include <cstdint>

namespace plantainpitch {

/// Tells the entry that an agent did not run a dispatch or has no complete answer to it.
struct refusal
{
    request_id id;
    std::uint32_t attempt = 1;
    refusal_reason reason = refusal_reason::draining;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    bool operator==(const refusal &) const = default;
};

} // namespace plantainpitch
