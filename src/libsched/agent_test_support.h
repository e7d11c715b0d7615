#pragma once

#include "plantainpitch/sched/agent.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>

namespace plantainpitch::test {

/// Answer of a worker that runs the incarnation \a startMs and nothing on it.
inline sched::worker_reply emptyListing(std::uint64_t startMs, std::int64_t clockMs)
{
    sched::worker_reply reply;
    reply.kind = sched::worker_reply_kind::accepted;
    reply.clockMs = clockMs;
    reply.listing.emplace();
    reply.listing->startMs = startMs;
    return reply;
}

/// Announces an incarnation that is not the known one to an agent that has had an owner, and has
/// the worker confirm it.
inline void announceAndConfirm(sched::agent &agent, const sched::worker_info &info,
                               std::int64_t clockMs, instant now)
{
    agent.workerAnnounced({ .info = info }, now);
    agent.tick(now);
    std::size_t questions = 0;
    for (const sched::worker_call &call : agent.takeCalls()) {
        if (call.kind != sched::worker_call_kind::identify || call.workerId != info.id)
            continue;
        ++questions;
        agent.onReply(call, emptyListing(info.startMs, clockMs), now);
    }
    BOOST_TEST(questions == 1U);
}

} // namespace plantainpitch::test
