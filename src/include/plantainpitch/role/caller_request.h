#pragma once

#include "plantainpitch/role/message/service_request.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// A request from a caller's connection.
struct caller_request
{
    std::uint64_t callerId = 0; ///< never used twice by an entry
    service_request request;
    std::string idempotencyKey; ///< empty: none
    std::int64_t timeoutMs = 0; ///< 0: the template's
    std::int64_t nowMs = 0; ///< wall clock, milliseconds since 1970

    bool operator==(const caller_request &) const = default;
};

} // namespace plantainpitch
