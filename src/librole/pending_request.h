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
    open, ///< sent; the connection is open
    lost, ///< the connection broke; may have run
    not_run, ///< proven not to have run
    may_have_run, ///< no answer is expected any more
};

/// One dispatch of a request.
struct dispatch_attempt
{
    std::uint32_t number = 0;
    endpoint_number endpoint = 0;
    connection_id connection = 0;
    std::uint64_t agentIncarnation = 0;
    instant sentAt;
    attempt_state state = attempt_state::open;
    bool countedInFlight = true; ///< the routing policy counts it as in flight
    bool timedOut = false; ///< the attempt took too long; an answer is still accepted
    std::uint32_t resendRequests = 0; ///< requests to resend a damaged answer

    [[nodiscard]] bool isOpen() const
    {
        return state == attempt_state::open || state == attempt_state::lost;
    }
};

/// Caller's request that has not been answered yet.
struct pending_request
{
    std::uint64_t number = 0;
    caller_request caller;
    bool idempotent = false;
    bool claimingKey = false;
    bool holdsKey = false;
    bool callerDisconnected = false;
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
        // Attempts are numbered 1, 2, ... in dispatch order.
        return attemptNumber >= 1 && attemptNumber <= attempts.size() ? &attempts[attemptNumber - 1]
                                                                      : nullptr;
    }
};

} // namespace plantainpitch::detail
