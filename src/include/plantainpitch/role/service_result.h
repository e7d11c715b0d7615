#pragma once

#include "plantainpitch/role/message/service_answer.h"

#include <cstdint>

namespace plantainpitch {

enum class service_result_kind {
    answered,
    connect_failed, ///< nothing was sent to the service
    broken, ///< may have run: no whole answer
};

/// Result of a service_call.
struct service_result
{
    std::uint64_t callId = 0;
    service_result_kind kind = service_result_kind::broken;
    service_answer content;

    bool operator==(const service_result &) const = default;
};

} // namespace plantainpitch
