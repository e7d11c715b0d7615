#pragma once

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

    bool operator==(const http_response &) const = default;
};

} // namespace plantainpitch::runtime
