#include "router_service.h"

#include <algorithm>

namespace plantainpitch::detail {

bool isIdempotent(const work_template &definition, const std::string &method,
                  const std::string &path)
{
    if (method == "GET" || method == "HEAD")
        return true;
    // The service may resolve ".." or a percent-encoded character to a path outside the prefix.
    const std::string pathOnly = path.substr(0, path.find('?'));
    if (pathOnly.find("..") != std::string::npos || pathOnly.find('%') != std::string::npos)
        return false;
    return std::any_of(definition.idempotentPaths.begin(), definition.idempotentPaths.end(),
                       [&](const idempotent_path &allowed) {
                           return allowed.method == method && pathOnly.starts_with(allowed.prefix);
                       });
}

} // namespace plantainpitch::detail
