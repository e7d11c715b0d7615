#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/caller_request.h"
#include "plantainpitch/role/record_outcome.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace plantainpitch::detail {

/// Submits the records of idempotency keys for one router.
class key_guard
{
public:
    struct claim
    {
        std::uint64_t number = 0; ///< of the request
        std::string account;
        std::string key;
        std::uint64_t digest = 0;
    };

    /// Tokens are firstToken, firstToken + step, ... as the request numbers of the router.
    key_guard(std::uint64_t entry, std::uint64_t firstToken, std::uint64_t step);

    void submitClaim(std::uint64_t number, const caller_request &caller, action_list &actions);
    /// The claim that a token belongs to; it is forgotten by this call.
    std::optional<claim> takeClaim(std::uint64_t token);

    void submitFinished(std::uint64_t number, const std::string &account, const std::string &key,
                        const service_answer &content, action_list &actions);
    void submitReleased(std::uint64_t number, const std::string &account, const std::string &key,
                        action_list &actions);
    /// The request ended as unknown while it held its key. A late message about its last attempt
    /// can still settle the key, so that a repetition by the caller gets more than "unknown".
    void keepUnsettled(instant now, std::uint64_t number, std::uint32_t attempt,
                       const caller_request &caller);
    void onLateAnswer(std::uint64_t number, std::uint32_t attempt, const service_answer &content,
                      action_list &actions);
    void onLateProof(std::uint64_t number, std::uint32_t attempt, action_list &actions);

    /// Outcome of a finished or released record: one that was not taken is kept for resubmit().
    void onRecordOutcome(const record_outcome &outcome, action_list &actions);
    /// Submits the records again that the log did not take, and forgets old unsettled keys.
    void tick(instant now, action_list &actions);

private:
    struct unsettled_key
    {
        std::uint32_t attempt = 0;
        std::string account;
        std::string key;
        instant until;
    };

    std::optional<unsettled_key> takeUnsettled(std::uint64_t number, std::uint32_t attempt);
    void submit(log_record record, action_list &actions);
    std::uint64_t takeToken();

    std::uint64_t m_entry;
    std::uint64_t m_nextToken;
    std::uint64_t m_step;
    instant m_nextResubmit;
    std::unordered_map<std::uint64_t, claim> m_claims; ///< by token
    std::unordered_map<std::uint64_t, log_record> m_submitted; ///< by token
    std::deque<log_record> m_refused;
    std::unordered_map<std::uint64_t, unsettled_key> m_unsettled; ///< by request number
};

/// Hash of service, method, path and body; the same on every entry.
std::uint64_t requestDigest(const service_request &request);

} // namespace plantainpitch::detail
