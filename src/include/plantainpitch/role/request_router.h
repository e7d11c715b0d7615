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
    std::uint64_t entry = 0; ///< incarnation of this process
    std::string dataCentre;
    std::uint64_t firstNumber = 1; ///< request numbers: firstNumber, firstNumber + step, ...
    std::uint64_t numberStep = 1; ///< number of router shards
    std::size_t maxInFlight = 10'000;
    double retryBudgetRatio = 0.1; ///< retries per request

    // Policies of each service. Nothing: the default.
    std::function<std::unique_ptr<routing_policy>(std::uint64_t seed)> makeRoutingPolicy;
    std::function<std::unique_ptr<retry_budget>()> makeRetryBudget;
    std::function<std::unique_ptr<hedge_policy>()> makeHedgePolicy;
};

/// Routes callers' requests to endpoints and settles each with exactly one answer_caller.
/// One shard of an entry; not thread-safe.
class request_router
{
public:
    request_router(request_router_options options, std::uint64_t seed);
    ~request_router();

    void onTemplate(std::shared_ptr<const work_template> value);
    void onTemplateRemoved(const std::string &name);

    /// Adds an endpoint or replaces what is known about it.
    void onEndpoint(instant now, const endpoint_info &endpoint);
    /// The connection to the endpoint is gone. Requests in flight on it are settled by the rules
    /// of docs/design.md, section 6; a new connection to the same incarnation may still prove what
    /// became of them.
    void onEndpointGone(instant now, connection_id connection);

    void onRequest(instant now, const caller_request &request);
    /// The caller closed its connection. A dispatched request is cancelled if it has not started.
    void onCallerGone(instant now, std::uint64_t callerId);

    /// Answer, refusal or cancel_result from an agent; other messages are ignored.
    void onMessage(instant now, connection_id from, const message &content);

    /// Outcome of a submit_record for an idempotency key. \a holder is the key's folded state, or
    /// nothing if the key is free.
    void onRecordOutcome(instant now, const record_outcome &outcome,
                         const std::optional<key_state> &holder);

    void tick(instant now);

    [[nodiscard]] std::size_t inFlight() const;

    /// Explains how the endpoints of a service look to this router, as JSON.
    [[nodiscard]] std::string explainService(const std::string &templateName) const;

    action_list takeActions();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch
