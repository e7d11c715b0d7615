#pragma once

#include "plantainpitch/sched/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

enum class worker_call_kind : std::uint8_t {
    start,
    stop,
    hold,
    pace,
    identify, ///< asks for the incarnation and its runs; changes nothing but the fence
};

/// A call from an agent to its worker.
struct worker_call
{
    worker_call_kind kind = worker_call_kind::hold;
    std::uint64_t number = 0; ///< sequence number of an agent's holds, or of its questions
    std::string workerId; ///< only that worker may execute it
    /// Incarnation that the agent knew when it sent the call. It is not part of the call, so that
    /// another one under the id may execute it.
    std::uint64_t workerStartMs = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t fence = 0; ///< the worker rejects calls with a lower fence
    /// End of the lease of all runs on the worker, in ms of the worker's clock; 0: unchanged.
    std::int64_t leaseUntilMs = 0;
    std::uint64_t endsNoted = 0; ///< the worker may discard ends up to this number
    std::uint32_t waitMs = 0; ///< the worker answers at the next end, or after this time
    std::uint32_t percent = 100; ///< pace of the task

    bool operator==(const worker_call &) const = default;
};

enum class worker_reply_kind : std::uint8_t {
    accepted,
    refused, ///< not executed and never will be
    not_running, ///< no process listens at the worker's address
    unanswered, ///< may have been executed, or may still be
};

/// Running and ended runs of a worker.
struct worker_listing
{
    std::uint64_t startMs = 0; ///< incarnation; 0: not named
    std::vector<run_status> running;
    std::vector<run_end> ended; ///< the earliest that the owner has not noted
    /// There may be later ends than those listed, so a run that is not named may have ended.
    bool mayHaveMoreEnds = false;
};

struct worker_reply
{
    worker_reply_kind kind = worker_reply_kind::unanswered;
    std::string reason; ///< of a refusal
    std::int64_t clockMs = 0; ///< worker's clock; 0: unknown
    std::optional<worker_listing> listing;
};

} // namespace plantainpitch::sched
