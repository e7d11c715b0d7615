#pragma once

#include <map>
#include <string>
#include <vector>

namespace plantainpitch::detail {

/// Path and query of an administration request, percent-decoded.
struct admin_target
{
    std::vector<std::string> segments; ///< without empty ones, e.g. {"v1", "jobs", "x"}
    std::map<std::string, std::string> query;
};

/// Throws error(invalid_argument) for a malformed percent encoding.
admin_target parseAdminTarget(const std::string &target);

} // namespace plantainpitch::detail
