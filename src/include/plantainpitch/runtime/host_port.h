#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::runtime {

struct host_port
{
    std::string host; ///< IPv4 or IPv6 address without brackets
    std::uint16_t port = 0;

    bool operator==(const host_port &) const = default;
};

/// Reads "10.0.0.5:7000" or "[::1]:7000"; nothing if malformed or if the port is 0.
std::optional<host_port> parseHostPort(const std::string &text);

/// Reads a comma-separated list; nothing if an element is malformed.
std::optional<std::vector<host_port>> parseHostPorts(const std::string &text);

} // namespace plantainpitch::runtime
