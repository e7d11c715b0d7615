#pragma once

#include "plantainpitch/sched/run_outcome.h"
#include "plantainpitch/sched/worker_call.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::test {

/// Simulated worker for tests of agents and schedulers: runs every task it is told to, under
/// leases.
struct fake_fleet_worker
{
    struct running_task
    {
        std::uint32_t run = 0;
        std::int64_t leftMs = 0;
        std::int64_t doneMs = 0;
        bool stopping = false;
        std::int64_t stopAtMs = 0;
        std::uint32_t pace = 100; ///< percent
        bool waits = false; ///< for other members of its gang
        std::int64_t waitedMs = 0;
    };

    sched::worker_info info;
    bool up = true;
    bool failsAll = false;
    bool refusesStarts = false; ///< as an unhealthy worker does
    bool checksTickets = false; ///< starts only tasks that carry ticketOf()
    bool makesNoProgress = false; ///< answers calls, but its runs make no progress
    std::set<std::string> crashingTasks; ///< each crashes the worker crashAfterMs after its start
    std::int64_t crashAfterMs = 30;
    std::int64_t restartAfterMs = 3'000; ///< after such a crash
    std::int64_t restartInMs = 0; ///< 0: no restart is due
    std::uint32_t usage = 0; ///< reported for all tasks
    std::int64_t clockMs = 1'000;
    std::int64_t leaseUntilMs = 0;
    std::uint64_t fence = 0;
    std::uint64_t lastEnd = 0;
    std::map<std::string, running_task> running;
    std::map<std::string, std::uint32_t> highestStopped; ///< run by task
    std::vector<sched::run_end> ended;
    std::size_t maxListedEnds = 500;
    std::int64_t holdMaxMs = 6'000; ///< longer leases are shortened to this

    static constexpr std::int64_t stopMs = 100;
    /// A member of a gang ends after it has waited this long for the others.
    static constexpr std::int64_t gangMs = 3'000;

    [[nodiscard]] std::string ticketOf(const std::string &step) const
    {
        return info.id + " may run " + step;
    }

    void end(const std::string &task, sched::run_outcome outcome)
    {
        sched::run_end entry;
        entry.number = ++lastEnd;
        entry.task = task;
        entry.run = running[task].run;
        entry.outcome = static_cast<std::uint8_t>(outcome);
        entry.checkpoint = std::to_string(running[task].doneMs);
        highestStopped[task] = std::max(highestStopped[task], entry.run);
        ended.push_back(entry);
        running.erase(task);
    }

    void advance(std::int64_t ms)
    {
        clockMs += ms;
        if (!up) {
            const bool due = restartInMs > 0 && (restartInMs -= ms) <= 0;
            if (due)
                restart();
            return;
        }
        std::vector<std::pair<std::string, sched::run_outcome>> ends;
        for (auto &[task, state] : running) {
            if (!makesNoProgress && !state.waits) {
                state.leftMs -= ms * state.pace / 100;
                state.doneMs += ms * state.pace / 100;
            }
            state.waitedMs = state.waits ? state.waitedMs + ms : 0;
            if (clockMs >= leaseUntilMs)
                ends.emplace_back(task, sched::run_outcome::lapsed);
            else if (state.stopping && clockMs >= state.stopAtMs)
                ends.emplace_back(task, sched::run_outcome::stopped);
            else if (state.waitedMs >= gangMs)
                ends.emplace_back(task, sched::run_outcome::alone);
            else if (state.leftMs <= 0)
                ends.emplace_back(task,
                                  failsAll ? sched::run_outcome::failed : sched::run_outcome::done);
        }
        for (const auto &[task, outcome] : ends)
            end(task, outcome);
        crashIfDue();
    }

    /// Crashes if a crashing task has run for long enough.
    void crashIfDue()
    {
        const bool due = std::any_of(running.begin(), running.end(), [this](const auto &each) {
            return crashingTasks.count(each.first) > 0 && each.second.doneMs >= crashAfterMs;
        });
        if (!due)
            return;
        up = false;
        running.clear();
        restartInMs = restartAfterMs;
    }

    /// Starts a new incarnation, which has no state of the last one.
    void restart()
    {
        up = true;
        info.startMs += 1'000;
        clockMs = 10;
        leaseUntilMs = 0;
        fence = 0;
        lastEnd = 0;
        running.clear();
        highestStopped.clear();
        ended.clear();
    }

    sched::worker_reply handle(const sched::worker_call &call, std::int64_t taskMs)
    {
        sched::worker_reply reply;
        reply.clockMs = clockMs;
        reply.kind = sched::worker_reply_kind::refused;
        if (call.workerId != info.id) {
            reply.reason = "worker_gone";
            return reply;
        }
        if (call.fence < fence) {
            reply.reason = "fence";
            return reply;
        }
        fence = call.fence;
        reply.kind = sched::worker_reply_kind::accepted;
        if (call.kind != sched::worker_call_kind::stop)
            leaseUntilMs = std::max(leaseUntilMs, std::min(call.leaseUntilMs, clockMs + holdMaxMs));
        if (call.kind == sched::worker_call_kind::start)
            start(call, taskMs, reply);
        if (call.kind == sched::worker_call_kind::stop)
            stop(call);
        if (call.kind == sched::worker_call_kind::hold
            || call.kind == sched::worker_call_kind::identify)
            list(call, reply);
        if (call.kind == sched::worker_call_kind::pace)
            setPace(call);
        return reply;
    }

private:
    void start(const sched::worker_call &call, std::int64_t taskMs, sched::worker_reply &reply)
    {
        const bool alreadyRunning =
                running.count(call.task) > 0 && running[call.task].run == call.run;
        if (alreadyRunning)
            return;
        const std::string step = call.task.substr(0, call.task.rfind('.'));
        if (refusesStarts) {
            reply.kind = sched::worker_reply_kind::refused;
            reply.reason = "unhealthy";
        } else if (checksTickets && call.ticket != ticketOf(step)) {
            reply.kind = sched::worker_reply_kind::refused;
            reply.reason = "ticket";
        } else if (running.count(call.task) > 0 || call.run <= highestStopped[call.task]) {
            reply.kind = sched::worker_reply_kind::refused;
            reply.reason = "old";
        } else if (call.leaseUntilMs <= clockMs) {
            reply.kind = sched::worker_reply_kind::refused;
            reply.reason = "late";
        } else {
            running[call.task] = { .run = call.run, .leftMs = taskMs };
        }
    }

    void stop(const sched::worker_call &call)
    {
        highestStopped[call.task] = std::max(highestStopped[call.task], call.run);
        const auto found = running.find(call.task);
        if (found == running.end() || found->second.run != call.run || found->second.stopping)
            return;
        found->second.stopping = true;
        found->second.stopAtMs = clockMs + stopMs;
    }

    void setPace(const sched::worker_call &call)
    {
        const auto found = running.find(call.task);
        if (found != running.end() && found->second.run == call.run)
            found->second.pace = call.percent;
    }

    void list(const sched::worker_call &call, sched::worker_reply &reply)
    {
        std::erase_if(ended, [&call](const sched::run_end &each) {
            return each.number <= call.endsNoted;
        });
        reply.listing.emplace();
        reply.listing->startMs = info.startMs;
        reply.listing->ended = ended;
        reply.listing->ended.resize(std::min(ended.size(), maxListedEnds));
        reply.listing->mayHaveMoreEnds = ended.size() >= maxListedEnds;
        for (const auto &[task, state] : running) {
            sched::run_status status;
            status.task = task;
            status.run = state.run;
            status.percent = static_cast<std::uint32_t>(
                    100 * state.doneMs / std::max<std::int64_t>(1, state.doneMs + state.leftMs));
            status.usage = usage;
            reply.listing->running.push_back(status);
        }
    }
};

} // namespace plantainpitch::test
