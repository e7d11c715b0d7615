#pragma once

#include "plantainpitch/sched/fleet_config.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Maps requests for a host and a path prefix to a queue.
struct route
{
    std::string host;
    std::string pathPrefix;
    std::string queue;

    bool operator==(const route &) const = default;
};

/// Destination of a request.
struct route_match
{
    std::string queue;
    std::string job; ///< rest of the path; empty: the queue itself

    bool operator==(const route_match &) const = default;
};

/// Limits on clients' requests.
struct request_limits
{
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint32_t maxBodyBytes = 262'144;

    bool operator==(const request_limits &) const = default;
};

/// A version of the operators' configuration.
struct operator_config
{
    fleet_config fleet;
    std::vector<route> routes;
    request_limits limits;

    /// Returns the route of that host with the longest matching prefix of \a path.
    [[nodiscard]] std::optional<route_match> match(const std::string &host,
                                                   const std::string &path) const;

    bool operator==(const operator_config &) const = default;
};

} // namespace plantainpitch::sched
