#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace plantainpitch {

/// Number that the owner of a routing policy gives to an endpoint. Small; reused after removal.
using endpoint_number = std::uint32_t;

/// Last reported state of an endpoint. The load comes from all entries and lags behind.
struct endpoint_report
{
    bool local = false; ///< in this entry's data centre
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool draining = false;
};

/// Outcome of a dispatch, as far as it matters to routing.
enum class dispatch_outcome {
    answered,
    refused, ///< the endpoint is overloaded or draining; does not count as a failure
    failed, ///< connection lost, timeout or service failure
    abandoned, ///< cancelled, or another attempt answered first; latency is a lower bound
};

/// Result of a dispatch that ended.
struct dispatch_result
{
    dispatch_outcome outcome = dispatch_outcome::answered;
    duration latency{}; ///< since the dispatch, including network time
    duration serviceTime{}; ///< if answered: measured by the agent, without network and queue
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

    /// Adds an endpoint or updates its report.
    virtual void onReport(instant now, endpoint_number endpoint, const endpoint_report &report) = 0;
    virtual void onRemoved(endpoint_number endpoint) = 0;
    virtual void onDispatched(instant now, endpoint_number endpoint) = 0;
    virtual void onEnded(instant now, endpoint_number endpoint, const dispatch_result &result) = 0;

    /// Endpoint for the next request; std::nullopt if all are excluded, draining or removed.
    virtual std::optional<endpoint_number> choose(instant now,
                                                  std::span<const endpoint_number> excluded) = 0;

    /// State of one endpoint for operators, e.g. "in_flight=3 average_us=2000 ejected=false".
    [[nodiscard]] virtual std::string explain(endpoint_number endpoint) const = 0;
};

} // namespace plantainpitch
