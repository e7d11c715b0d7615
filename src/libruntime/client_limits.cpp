#include "plantainpitch/runtime/client_limits.h"

#include <algorithm>

namespace plantainpitch::runtime {

namespace {

// Of a listener with few clients that send little.
constexpr std::size_t minorConnections = 64;
constexpr std::size_t minorHeldBytes = 4UL * 1024 * 1024;

} // namespace

void client_limits::registerIn(settings &target)
{
    target.group("Limits for clients");
    target.add("max_connections", maxConnections,
               "open connections of a listener; beyond it the one that has waited longest for its "
               "client is closed, or the new one gets a 503",
               numberBetween(1, 100'000));
    target.add("max_request_header_bytes", maxHeaderBytes,
               "largest header of a request, and largest trailers; more: 431",
               numberBetween(1'024, 1'048'576));
    target.add("max_request_body_bytes", maxBodyBytes, "largest body of a request; more: 413",
               numberBetween(1, 67'108'864));
    target.add("max_early_bytes", maxEarlyBytes,
               "bytes of further requests that are read before the present one is answered",
               numberBetween(1, 1'048'576));
    target.add("max_held_request_bytes", maxHeldRequestBytes,
               "bytes of all requests that a listener is reading or handling; beyond it the "
               "largest one that is being read gets a 503",
               numberBetween(1'024, 2'147'483'647));
    target.add("request_read_timeout_ms", readTimeoutMs,
               "time in which a whole request must arrive; more: 408", numberBetween(1, 3'600'000));
    target.add("idle_timeout_ms", idleTimeoutMs,
               "time between two requests, or for reading a response, after which a connection is "
               "closed",
               numberBetween(1, 3'600'000));
    target.addCheck([this]() -> std::string {
        if (maxHeldRequestBytes >= maxBodyBytes)
            return {};
        return "max_held_request_bytes is smaller than max_request_body_bytes; give a larger one, "
               "or no request with the largest body is served";
    });
}

http_server_options client_limits::apply(http_server_options base) const
{
    base.maxConnections = maxConnections;
    base.maxHeaderBytes = maxHeaderBytes;
    base.maxBodyBytes = maxBodyBytes;
    base.maxEarlyBytes = maxEarlyBytes;
    base.maxHeldBytes = maxHeldRequestBytes;
    base.readTimeout = std::chrono::milliseconds(readTimeoutMs);
    base.idleTimeout = std::chrono::milliseconds(idleTimeoutMs);
    return base;
}

http_server_options client_limits::applyToMinor(http_server_options base) const
{
    http_server_options options = apply(std::move(base));
    options.maxConnections = std::min(options.maxConnections, minorConnections);
    options.maxHeldBytes = std::min(options.maxHeldBytes, minorHeldBytes);
    return options;
}

std::function<void(const char *reason)> countLimits(metrics &counters)
{
    return [&counters](const char *reason) {
        counters.count({ .name = "client_limits_total", .label = reason });
    };
}

} // namespace plantainpitch::runtime
