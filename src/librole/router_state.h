#pragma once

#include "key_tracker.h"
#include "pending_request.h"
#include "plantainpitch/role/request_router.h"
#include "router_service.h"

#include <functional>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace plantainpitch {

struct request_router::state
{
    using pending_request = detail::pending_request;
    using dispatch_attempt = detail::dispatch_attempt;
    using router_service = detail::router_service;
    using timer = std::pair<instant, std::uint64_t>; ///< time and request number

    state(request_router_options value, std::uint64_t seedValue);

    // Requests.
    void onRequest(instant now, const caller_request &request);
    /// Refuses a request before it gets a request number.
    void refuseCaller(const caller_request &request, std::string_view reason);
    /// Sends the first dispatch, or answers "not run" if that is not possible.
    void dispatchFirst(instant now, pending_request &request);
    bool dispatchNext(instant now, pending_request &request);
    /// Retries after an attempt that ended without an answer, or ends the request if no retry is
    /// allowed or possible.
    void retryOrFinish(instant now, std::uint64_t number, std::string_view retryReason);
    void onTimer(instant now, std::uint64_t number);
    void onDeadline(instant now, std::uint64_t number);
    void scheduleTimer(const pending_request &request);
    void runDueTimers(instant now);
    [[nodiscard]] instant nextTimer(const pending_request &request) const;
    void endAttempt(instant now, pending_request &request, dispatch_attempt &attempt,
                    detail::attempt_state state, dispatch_outcome outcome,
                    duration serviceTime = {});

    // Outcomes. Each of these functions ends the request.
    void finishAnswered(instant now, std::uint64_t number, const service_answer &content);
    void finishNotRun(instant now, std::uint64_t number, std::string_view reason);
    void finishUnknown(instant now, std::uint64_t number, std::string_view reason);
    void finish(instant now, std::uint64_t number, answer_caller reply);
    void cancelOpenAttempts(const pending_request &request);

    // Messages.
    void onAnswer(instant now, const answer &content);
    void onRefusal(instant now, const refusal &content);
    void onCancelResult(instant now, connection_id from, const cancel_result &content);
    void onDamagedAnswer(instant now, std::uint64_t number, dispatch_attempt &attempt);
    void updateEndpointLoad(instant now, connection_id from, std::uint32_t running,
                            std::uint32_t queued, bool isDraining);
    /// Returns the request and attempt that a message refers to, or null pointers if the request is
    /// no longer pending.
    std::pair<pending_request *, dispatch_attempt *> findAttempt(const request_id &id,
                                                                 std::uint32_t attempt);
    void reportInvariantViolation(const request_id &id, std::string_view description);

    // Endpoints.
    void onEndpoint(instant now, const endpoint_info &endpoint);
    void onEndpointDisconnected(instant now, connection_id connection);
    void onAttemptLost(instant now, std::uint64_t number, endpoint_number endpoint);
    /// Asks the agent for the outcome of the attempts that were in flight when the connection
    /// broke.
    void queryLostAttempts(router_service &service, endpoint_number endpoint);
    /// Ends the lost attempts on an agent process that \a endpoint has replaced.
    void failAttemptsOnReplaced(instant now, router_service &service,
                                const endpoint_info &endpoint);
    router_service &findOrCreateService(const std::string &templateName);

    // Idempotency keys.
    void onClaimOutcome(instant now, const detail::key_tracker::claim &claim,
                        const record_outcome &outcome, const std::optional<key_state> &holder);
    void onKeyHeld(instant now, const detail::key_tracker::claim &claim,
                   const std::optional<key_state> &holder);

    void send(connection_id to, message content);
    void count(std::string name, std::string_view label);
    [[nodiscard]] pending_request *find(std::uint64_t number);

    request_router_options options;
    std::uint64_t seed;
    std::uint64_t nextRequestNumber;
    detail::key_tracker keys;
    std::unordered_map<std::string, std::unique_ptr<router_service>> services;
    std::unordered_map<connection_id, router_service *> byConnection;
    std::unordered_map<std::uint64_t, pending_request> pending; ///< by request number
    std::unordered_map<std::uint64_t, std::uint64_t> byCaller; ///< caller id to request number
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
    action_list actions;
};

} // namespace plantainpitch
