#pragma once

#include "plantainpitch/sched/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

enum class worker_call_kind : std::uint8_t { start, stop, hold, pace };

/// A call from an agent to its worker.
struct worker_call
{
    worker_call_kind kind = worker_call_kind::hold;
    std::uint64_t number = 0; ///< counts the holds of an agent
    std::string workerId; ///< only that incarnation may carry it out
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t fence = 0; ///< the worker ignores calls with a lower one
    /// End of the lease of everything on the worker, on the worker's clock, ms; 0: unchanged.
    std::int64_t leaseUntilMs = 0;
    std::uint64_t endsNoted = 0; ///< the worker may forget ends up to this number
    std::uint32_t waitMs = 0; ///< the worker answers at the next end, at the latest after this
    std::uint32_t percent = 100; ///< share at which a task works

    bool operator==(const worker_call &) const = default;
};

enum class worker_reply_kind : std::uint8_t {
    accepted,
    refused, ///< nothing was done and nothing will be
    not_running, ///< no process listens at the worker's address
    unanswered, ///< may have been carried out, or may be later
};

/// What runs on a worker and what has ended there.
struct worker_listing
{
    std::uint64_t startMs = 0; ///< incarnation; 0: not told
    std::vector<run_status> running;
    std::vector<run_end> ended;
};

struct worker_reply
{
    worker_reply_kind kind = worker_reply_kind::unanswered;
    std::string reason; ///< of a refusal
    std::int64_t clockMs = 0; ///< worker's clock; 0: not told
    std::optional<worker_listing> listing;
};

} // namespace plantainpitch::sched
