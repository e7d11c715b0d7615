#pragma once

#include "plantainpitch/role/message/service_request.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Service request received on a caller's connection.
struct caller_request
{
    std::uint64_t callerId = 0; ///< unique within the entry process
    service_request request;
    std::string idempotencyKey; ///< empty if the caller sent none
    std::int64_t timeoutMs = 0; ///< 0: use the template's timeout
    std::int64_t nowMs = 0; ///< wall clock, milliseconds since 1970

    bool operator==(const caller_request &) const = default;
};

} // namespace plantainpitch
