#pragma once

#include "plantainpitch/log/key_state.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/work_template.h"
#include "plantainpitch/policy/hedge_policy.h"
#include "plantainpitch/policy/retry_budget.h"
#include "plantainpitch/policy/routing_policy.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/caller_request.h"
#include "plantainpitch/role/endpoint_info.h"
#include "plantainpitch/role/record_outcome.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantainpitch {

struct request_router_options
{
    std::uint64_t entry = 0; ///< incarnation of this entry process
    std::string dataCentre;
    std::uint64_t firstRequestNumber = 1; ///< number of the first request
    std::uint64_t requestNumberStep = 1; ///< difference of successive numbers: the number of shards
    std::size_t maxInFlight = 10'000;
    double retryBudgetRatio = 0.1; ///< retries allowed per request

    // Factories for the policies of each service. If empty, the default policy is used.
    std::function<std::unique_ptr<routing_policy>(std::uint64_t seed)> makeRoutingPolicy;
    std::function<std::unique_ptr<retry_budget>()> makeRetryBudget;
    std::function<std::unique_ptr<hedge_policy>()> makeHedgePolicy;
};

/// Routes callers' requests to endpoints and ends each with exactly one answer_caller.
/// Serves one shard of an entry. Not thread-safe.
class request_router
{
public:
    request_router(request_router_options options, std::uint64_t seed);
    ~request_router();

    void onTemplate(std::shared_ptr<const work_template> value);
    void onTemplateRemoved(const std::string &name);

    /// Adds an endpoint or updates its state.
    void onEndpoint(instant now, const endpoint_info &endpoint);
    /// Called when the connection to the endpoint is closed. Requests in flight on it end by the
    /// rules of docs/design.md, section 6; after a reconnection to the same incarnation the agent
    /// can still report their outcome.
    void onEndpointDisconnected(instant now, connection_id connection);

    void onRequest(instant now, const caller_request &request);
    /// Called when the caller has closed its connection. Cancels its request if that has not
    /// started.
    void onCallerDisconnected(instant now, std::uint64_t callerId);

    /// Handles an answer, refusal or cancel_result from an agent; ignores other messages.
    void onMessage(instant now, connection_id from, const message &content);

    /// Handles the outcome of a submit_record for an idempotency key. \a holder is the state of the
    /// key in the log, or empty if no request holds the key.
    void onRecordOutcome(instant now, const record_outcome &outcome,
                         const std::optional<key_state> &holder);

    void tick(instant now);

    [[nodiscard]] std::size_t inFlight() const;

    /// Returns the endpoints of a service as this router sees them, with their routing state, as
    /// JSON.
    [[nodiscard]] std::string explainService(const std::string &templateName) const;

    action_list takeActions();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch
