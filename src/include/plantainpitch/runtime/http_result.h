#pragma once

#include "plantainpitch/runtime/http_response.h"

namespace plantainpitch::runtime {

enum class http_result_kind {
    answered, ///< a whole response
    connect_failed, ///< nothing was sent
    broken, ///< sent in part or whole, no whole response
    timeout, ///< sent in part or whole, no whole response in time
};

struct http_result
{
    http_result_kind kind = http_result_kind::broken;
    http_response response;
    bool refused = false; ///< with connect_failed: nothing listens at the address

    bool operator==(const http_result &) const = default;
};

} // namespace plantainpitch::runtime
