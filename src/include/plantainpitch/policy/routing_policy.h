#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace plantainpitch {

/// Number that the owner of a routing policy gives to an endpoint. Small; reused after removal.
using endpoint_number = std::uint32_t;

/// What is known of an endpoint. The load is of all entries, as last reported; it lags.
struct endpoint_report
{
    bool local = false; ///< in this entry's data centre
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool draining = false;
};

/// How a dispatch ended, as far as the policy is concerned.
enum class dispatch_end {
    answered,
    refused, ///< the endpoint is overloaded or draining; says nothing about its health
    failed, ///< broken connection, timeout, service broken
    abandoned, ///< cancelled, or lost a hedge; its latency is at least the given time
};

/// What the policy learns from a dispatch that ended.
struct dispatch_result
{
    dispatch_end end = dispatch_end::answered;
    duration latency{}; ///< since the dispatch, with the time on the link
    duration serviceTime{}; ///< answered: as the agent measured it, without link and queue
};

/// Chooses endpoints of one service. Requests in flight from this entry are known exactly through
/// onDispatched() and onEnded(); those of other entries only through reports.
class routing_policy
{
public:
    routing_policy() = default;
    routing_policy(const routing_policy &) = delete;
    routing_policy &operator=(const routing_policy &) = delete;
    virtual ~routing_policy() = default;

    /// Adds an endpoint, or takes a newer report of it.
    virtual void onReport(instant now, endpoint_number endpoint, const endpoint_report &report) = 0;
    virtual void onRemoved(endpoint_number endpoint) = 0;
    virtual void onDispatched(instant now, endpoint_number endpoint) = 0;
    virtual void onEnded(instant now, endpoint_number endpoint, const dispatch_result &result) = 0;

    /// Endpoint for the next request; nothing if all are excluded, draining or gone.
    virtual std::optional<endpoint_number> choose(instant now,
                                                  std::span<const endpoint_number> excluded) = 0;

    /// State of one endpoint for operators, e.g. "in_flight=3 average_us=2000 ejected=false".
    [[nodiscard]] virtual std::string explain(endpoint_number endpoint) const = 0;
};

} // namespace plantainpitch
