#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/policy/routing_policy.h"
#include "plantainpitch/role/caller_request.h"
#include "plantainpitch/role/connection_id.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch::detail {

enum class attempt_state {
    open, ///< sent; the connection is up
    lost, ///< the connection broke; may have run
    not_run, ///< proven
    may_have_run, ///< no answer will come
};

/// One dispatch of a request.
struct dispatch_attempt
{
    std::uint32_t number = 0;
    endpoint_number endpoint = 0;
    connection_id connection = 0;
    std::uint64_t agent = 0; ///< incarnation
    instant sentAt;
    attempt_state state = attempt_state::open;
    bool counted = true; ///< in flight for the routing policy
    bool slow = false; ///< timed out or hedged; an answer still counts
    std::uint32_t resendsAsked = 0; ///< after damaged answers

    [[nodiscard]] bool isOpen() const
    {
        return state == attempt_state::open || state == attempt_state::lost;
    }
};

/// A caller's request until its answer.
struct pending_request
{
    std::uint64_t number = 0;
    caller_request caller;
    bool idempotent = false;
    bool claimingKey = false;
    bool holdsKey = false;
    bool callerGone = false;
    bool hedged = false;
    instant arrived;
    instant deadline;
    std::string lastReason; ///< of the last refusal or failure
    std::vector<dispatch_attempt> attempts;

    [[nodiscard]] bool hasOpenAttempt() const
    {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const auto &attempt) { return attempt.isOpen(); });
    }
    [[nodiscard]] bool provenNotRun() const
    {
        return std::all_of(attempts.begin(), attempts.end(), [](const auto &attempt) {
            return attempt.state == attempt_state::not_run;
        });
    }
    [[nodiscard]] dispatch_attempt *findAttempt(std::uint32_t attemptNumber)
    {
        // Attempts are numbered 1, 2, ... in the order of their dispatches.
        return attemptNumber >= 1 && attemptNumber <= attempts.size() ? &attempts[attemptNumber - 1]
                                                                      : nullptr;
    }
};

} // namespace plantainpitch::detail
