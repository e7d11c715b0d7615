#pragma once

#include "plantainpitch/model/request_id.h"
#include "plantainpitch/role/message/service_request.h"

#include <cstdint>

namespace plantainpitch {

/// Asks an agent to run a request.
struct dispatch
{
    request_id id;
    std::uint32_t attempt = 1; ///< number of this dispatch of the request, from 1
    std::int64_t timeLeftUs = 0; ///< until the caller's deadline, when sent
    bool idempotent = false;
    service_request request;

    bool operator==(const dispatch &) const = default;
};

} // namespace plantainpitch
