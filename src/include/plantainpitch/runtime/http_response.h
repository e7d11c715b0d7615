#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::runtime {

struct http_response
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Sends only that many bytes of the whole message, then closes the connection. Set by
    /// stand-ins that test clients.
    std::optional<std::size_t> cutAfterBytes;

    bool operator==(const http_response &) const = default;
};

} // namespace plantainpitch::runtime
