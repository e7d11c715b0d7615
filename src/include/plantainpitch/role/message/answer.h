#pragma once

#include "plantainpitch/model/request_id.h"
#include "plantainpitch/role/message/service_answer.h"

#include <cstdint>

namespace plantainpitch {

/// The service's answer to a dispatch.
struct answer
{
    request_id id;
    std::uint32_t attempt = 1;
    service_answer content;
    std::uint64_t bodyBytes = 0;
    std::uint32_t bodyChecksum = 0; ///< CRC-32 of the body
    std::int64_t serviceTimeUs = 0;
    std::uint32_t running = 0; ///< requests in a slot after this answer
    std::uint32_t queued = 0;

    bool operator==(const answer &) const = default;
};

} // namespace plantainpitch
