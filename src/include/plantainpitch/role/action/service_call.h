#pragma once

#include "plantainpitch/model/request_id.h"
#include "plantainpitch/role/message/service_request.h"

#include <cstdint>

namespace plantainpitch {

/// Request that the agent process has to send to its local service.
struct service_call
{
    std::uint64_t callId = 0;
    request_id id; ///< sent as X-Request-Id
    service_request request;
    std::int64_t timeoutUs = 0;

    bool operator==(const service_call &) const = default;
};

} // namespace plantainpitch
