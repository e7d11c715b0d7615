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

/// Claims, finishes and releases idempotency keys in the log for one router.
class key_tracker
{
public:
    struct claim
    {
        std::uint64_t number = 0; ///< request number
        std::string account;
        std::string key;
        std::uint64_t digest = 0;
    };

    /// Tokens are firstToken, firstToken + step, ..., numbered like the requests of the router.
    key_tracker(std::uint64_t entry, std::uint64_t firstToken, std::uint64_t step);

    void submitClaim(std::uint64_t number, const caller_request &caller, action_list &actions);
    /// Removes and returns the claim submitted with a token.
    std::optional<claim> takeClaim(std::uint64_t token);

    void submitFinished(std::uint64_t number, const std::string &account, const std::string &key,
                        const service_answer &content, action_list &actions);
    void submitReleased(std::uint64_t number, const std::string &account, const std::string &key,
                        action_list &actions);
    /// Keeps the key of a request that ended as unknown while it held the key. A late message about
    /// the last attempt can still finish or release the key, so that a repeated request gets a more
    /// useful result than "unknown".
    void keepUnsettled(instant now, std::uint64_t number, std::uint32_t attempt,
                       const caller_request &caller);
    void onLateAnswer(std::uint64_t number, std::uint32_t attempt, const service_answer &content,
                      action_list &actions);
    void onLateNotRun(std::uint64_t number, std::uint32_t attempt, action_list &actions);

    /// Handles the outcome of a finished or released record. A record that was not taken is kept
    /// and submitted again by tick().
    void onRecordOutcome(const record_outcome &outcome, action_list &actions);
    /// Resubmits records that the log did not take, and removes expired unsettled keys.
    void tick(instant now, action_list &actions);

private:
    struct unsettled_key
    {
        std::uint32_t attempt = 0;
        std::string account;
        std::string key;
        instant expiresAt;
    };

    std::optional<unsettled_key> takeUnsettled(std::uint64_t number, std::uint32_t attempt);
    void submit(log_record record, action_list &actions);
    std::uint64_t takeToken();

    std::uint64_t m_entry;
    std::uint64_t m_nextToken;
    std::uint64_t m_tokenStep;
    instant m_nextResubmit;
    std::unordered_map<std::uint64_t, claim> m_claims; ///< by token
    std::unordered_map<std::uint64_t, log_record> m_submitted; ///< by token
    std::deque<log_record> m_rejected;
    std::unordered_map<std::uint64_t, unsettled_key> m_unsettled; ///< by request number
};

/// Hash of service, method, path and body. All entries compute the same value.
std::uint64_t requestDigest(const service_request &request);

} // namespace plantainpitch::detail
