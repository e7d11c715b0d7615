#pragma once

#include "dispatch_history.h"
#include "plantainpitch/policy/admission_policy.h"
#include "plantainpitch/role/request_admission.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

namespace plantainpitch {

struct request_admission::state
{
    /// Accepted dispatch that is queued for a slot or running.
    struct admitted_request
    {
        detail::attempt_key key;
        bool idempotent = false;
        instant deadline;
        instant started;
        service_request request;
    };

    explicit state(request_admission_options value);

    void onDispatch(instant now, connection_id from, const dispatch &request);
    void onCancel(instant now, connection_id from, const cancel &request);
    void onServiceResult(instant now, const service_result &result);
    void startQueued(instant now);
    void refuseExpired(instant now);

    /// Answers a dispatch that was received or cancelled before, or whose history may have been
    /// evicted. Returns false if the dispatch is new.
    bool handleKnownDispatch(connection_id from, const detail::attempt_key &key, bool idempotent);
    [[nodiscard]] bool isActive(const detail::attempt_key &key) const;
    [[nodiscard]] bool isActiveRequest(const request_id &id) const;
    [[nodiscard]] std::optional<refusal_reason> reasonToRefuse(const dispatch &request) const;
    [[nodiscard]] std::uint32_t usableSlots() const;

    /// Refuses a dispatch and records the refusal, so that a repeated dispatch is refused as well.
    void refuse(instant now, const detail::attempt_key &key, refusal_reason reason);
    void finish(instant now, const admitted_request &request, const service_answer &content);
    void sendRefusal(connection_id to, const detail::attempt_key &key, refusal_reason reason);
    void sendToEntry(std::uint64_t entry, message content);
    void sendCancelResult(connection_id to, const detail::attempt_key &key, cancel_outcome outcome);

    request_admission_options options;
    std::unique_ptr<admission_policy> policy;
    bool draining = false;
    std::uint64_t lastCallId = 0;
    std::unordered_map<std::uint64_t, connection_id> connections; ///< by entry incarnation
    std::deque<admitted_request> queue;
    std::unordered_map<std::uint64_t, admitted_request> running; ///< by call id
    detail::dispatch_history history;
    action_list actions;
};

} // namespace plantainpitch
