#pragma once

#include "key_guard.h"
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
    using wake = std::pair<instant, std::uint64_t>; ///< time and request number

    state(request_router_options value, std::uint64_t seedValue);

    // Requests.
    void onRequest(instant now, const caller_request &request);
    /// Refuses before a number is given.
    void refuseCaller(const caller_request &request, std::string_view reason);
    /// The first dispatch, or the answer that there is none.
    void dispatchFirst(instant now, pending_request &request);
    bool dispatchNext(instant now, pending_request &request);
    /// Goes on after an attempt that ended without an answer; ends the request if nothing is left.
    void retryOrFinish(instant now, std::uint64_t number, std::string_view retryReason);
    void onWake(instant now, std::uint64_t number);
    void onDeadline(instant now, std::uint64_t number);
    void scheduleWake(const pending_request &request);
    void wakeDue(instant now);
    [[nodiscard]] instant nextWake(const pending_request &request) const;
    void endAttempt(instant now, pending_request &request, dispatch_attempt &attempt,
                    detail::attempt_state state, dispatch_outcome end, duration serviceTime = {});

    // The three outcomes. Each ends the request.
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
    void noteLoad(instant now, connection_id from, std::uint32_t running, std::uint32_t queued,
                  bool isDraining);
    /// The request and attempt a message is about; nothing, and counted, if it is late.
    std::pair<pending_request *, dispatch_attempt *> findAttempt(const request_id &id,
                                                                 std::uint32_t attempt);
    void reportContradiction(const request_id &id, std::string_view what);

    // Endpoints.
    void onEndpoint(instant now, const endpoint_info &endpoint);
    void onEndpointGone(instant now, connection_id connection);
    void onAttemptLost(instant now, std::uint64_t number, endpoint_number endpoint);
    /// Asks the agent what became of the requests that were in flight when the connection broke.
    void askAboutLost(router_service &service, endpoint_number endpoint);
    void giveUpReplaced(instant now, router_service &service, const endpoint_info &endpoint);
    router_service &serviceOf(const std::string &templateName);

    // Keys.
    void onClaimOutcome(instant now, const detail::key_guard::claim &claim,
                        const record_outcome &outcome, const std::optional<key_state> &holder);
    void onKeyHeld(instant now, const detail::key_guard::claim &claim,
                   const std::optional<key_state> &holder);

    void send(connection_id to, message content);
    void count(std::string name, std::string_view label);
    [[nodiscard]] pending_request *find(std::uint64_t number);

    request_router_options options;
    std::uint64_t seed;
    std::uint64_t nextNumber;
    detail::key_guard keys;
    std::unordered_map<std::string, std::unique_ptr<router_service>> services;
    std::unordered_map<connection_id, router_service *> byConnection;
    std::unordered_map<std::uint64_t, pending_request> pending; ///< by request number
    std::unordered_map<std::uint64_t, std::uint64_t> byCaller; ///< caller id to request number
    std::priority_queue<wake, std::vector<wake>, std::greater<>> wakes;
    action_list actions;
};

} // namespace plantainpitch
