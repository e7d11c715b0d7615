#pragma once

#include "plantainpitch/runtime/http_server_options.h"
#include "plantainpitch/runtime/metrics.h"
#include "plantainpitch/runtime/settings.h"

#include <cstdint>
#include <functional>

namespace plantainpitch::runtime {

/// Settings of a program that bound what clients can make it hold.
struct client_limits
{
    std::uint32_t maxConnections = 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 1024 * 1024;
    std::uint32_t maxEarlyBytes = 16 * 1024;
    std::uint32_t maxHeldRequestBytes = 32 * 1024 * 1024;
    std::uint32_t readTimeoutMs = 10'000;
    std::uint32_t idleTimeoutMs = 60'000;

    /// Adds the flags as a group of their own.
    void registerIn(settings &target);
    /// Returns \a base with these limits, for the listener of the program's main clients.
    [[nodiscard]] http_server_options apply(http_server_options base) const;
    /// Returns \a base with these limits, for a listener with few clients that send little, such as
    /// checks of readiness and readers of metrics.
    [[nodiscard]] http_server_options applyToMinor(http_server_options base) const;

    bool operator==(const client_limits &) const = default;
};

/// Returns a function for http_server_options::limitReached that adds to the counter
/// client_limits_total with the reason as its label. \a counters must outlive it.
std::function<void(const char *reason)> countLimits(metrics &counters);

} // namespace plantainpitch::runtime
