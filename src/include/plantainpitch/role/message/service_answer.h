#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// The service's complete HTTP response to a request.
struct service_answer
{
    std::uint32_t status = 200; ///< HTTP status
    std::string contentType;
    std::string body;

    bool operator==(const service_answer &) const = default;
};

} // namespace plantainpitch
