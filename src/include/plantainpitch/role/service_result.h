#pragma once

#include "plantainpitch/role/message/service_answer.h"

#include <cstdint>

namespace plantainpitch {

enum class service_result_kind {
    answered,
    connect_failed, ///< nothing was sent to the service
    broken, ///< may have run; no complete answer was received
};

/// Result of the service_call with the same id.
struct service_result
{
    std::uint64_t callId = 0;
    service_result_kind kind = service_result_kind::broken;
    service_answer content;

    bool operator==(const service_result &) const = default;
};

} // namespace plantainpitch
