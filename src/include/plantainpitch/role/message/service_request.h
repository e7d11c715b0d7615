#pragma once

#include "plantainpitch/role/message/held_task.h"

#include <optional>
#include <string>

namespace plantainpitch {

/// A caller's HTTP request as it is forwarded to the service.
struct service_request
{
    std::string account;
    std::string templateName;
    std::string method;
    std::string path; ///< with query
    std::string contentType;
    std::string body;
    std::optional<held_task> origin; ///< set if a task run by this system sent the request

    bool operator==(const service_request &) const = default;
};

} // namespace plantainpitch
