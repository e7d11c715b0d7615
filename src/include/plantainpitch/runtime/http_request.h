#pragma once

#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::runtime {

struct http_request
{
    std::string method;
    std::string target; ///< path and query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of the first header of that name (any case); empty if there is none.
    [[nodiscard]] std::string header(const std::string &name) const;

    bool operator==(const http_request &) const = default;
};

} // namespace plantainpitch::runtime
