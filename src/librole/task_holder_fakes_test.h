#pragma once

#include "plantainpitch/log/log_record.h"
#include "plantainpitch/role/message/authority_grant.h"
#include "plantainpitch/role/message/authority_request.h"
#include "plantainpitch/role/message/record_settled.h"
#include "plantainpitch/role/worker/worker_answer.h"
#include "plantainpitch/role/worker/worker_call.h"

#include <map>
#include <set>
#include <string>

namespace plantainpitch::fakes {

/// Worker with its own clock that does not check its capacity. Checkpoints are the progress of the
/// task in ms.
struct fake_worker
{
    struct run
    {
        worker_task entry;
        std::int64_t progressMs = 0;
        std::int64_t lengthMs = 0;
    };

    std::string boot = "boot-1";
    std::int64_t clockUs = 1'000'000;
    resources capacity{ .processorsMilli = 4000, .memoryBytes = 4000, .accelerators = 0 };
    std::int64_t usedMilli = 1000; ///< processor usage of every task
    std::int64_t lengthMs = 3'000; ///< of every task
    std::map<task_id, run> runs;
    std::vector<worker_call> starts;
    std::string nextFailure; ///< not empty: the next start is rejected

    void advance(std::int64_t us)
    {
        clockUs += us;
        for (auto &[id, run] : runs) {
            if (run.entry.state != worker_task_state::running)
                continue;
            run.progressMs += us / 1000;
            if (clockUs >= run.entry.leaseUntilUs)
                run.entry.state = worker_task_state::lease_expired;
            else if (run.progressMs >= run.lengthMs)
                run.entry.state = worker_task_state::finished;
        }
    }

    void reboot(const std::string &newBoot)
    {
        boot = newBoot;
        runs.clear();
    }

    [[nodiscard]] bool runsTask(const task_id &task) const
    {
        const auto found = runs.find(task);
        return found != runs.end() && found->second.entry.state == worker_task_state::running;
    }

    worker_answer execute(const worker_call &call)
    {
        worker_answer answer{ .callId = call.callId,
                              .operation = call.operation,
                              .task = call.task,
                              .result = worker_result::ok,
                              .workerClockUs = clockUs };
        if (call.operation == worker_operation::list) {
            answer.list = worker_list{ .boot = boot, .capacity = capacity, .rack = "r1" };
            for (const auto &[id, run] : runs)
                answer.list->tasks.push_back(run.entry);
        } else if (call.operation == worker_operation::usage) {
            for (const auto &[id, run] : runs)
                answer.usage.push_back({ .task = id, .processorsMilli = usedMilli });
        } else if (call.operation == worker_operation::start) {
            start(call, answer);
        } else if (const auto found = runs.find(call.task);
                   found == runs.end() || found->second.entry.attempt != call.attempt) {
            answer.result = worker_result::rejected;
        } else {
            applyCall(call, found->second, answer);
        }
        return answer;
    }

private:
    void start(const worker_call &call, worker_answer &answer)
    {
        const auto known = runs.find(call.task);
        const bool replaces = known == runs.end() || known->second.entry.attempt < call.attempt
                              || known->second.entry.state == worker_task_state::stopped
                              || known->second.entry.state == worker_task_state::lease_expired;
        if (!nextFailure.empty() || call.leaseUntilUs <= clockUs || !replaces) {
            answer.result = worker_result::rejected;
            nextFailure.clear();
            return;
        }
        starts.push_back(call);
        run &current = runs[call.task];
        current = { .entry = { .task = call.task,
                               .attempt = call.attempt,
                               .reserved = call.reserved,
                               .leaseUntilUs = call.leaseUntilUs,
                               .checkpoint = call.checkpoint },
                    .progressMs = call.checkpoint.empty() ? 0 : std::stoll(call.checkpoint),
                    .lengthMs = lengthMs };
    }

    void applyCall(const worker_call &call, run &current, worker_answer &answer)
    {
        const bool running = current.entry.state == worker_task_state::running;
        switch (call.operation) {
        case worker_operation::renew:
            if (running)
                current.entry.leaseUntilUs =
                        std::max(current.entry.leaseUntilUs, call.leaseUntilUs);
            break;
        case worker_operation::checkpoint:
        case worker_operation::stop:
            if (!running)
                break;
            current.entry.checkpoint = std::to_string(current.progressMs);
            answer.checkpoint = current.entry.checkpoint;
            if (call.operation == worker_operation::stop)
                current.entry.state = worker_task_state::stopped;
            break;
        case worker_operation::forget:
            if (!running)
                runs.erase(call.task);
            break;
        default:
            break;
        }
    }
};

/// The fold of docs/design.md, section 5.2, for the records that holders and movers write.
struct fake_log
{
    struct task_entry
    {
        std::string phase = "pending";
        log_position lastChange;
        log_position attempt;
        log_position claimBase;
        log_position endedAttempt;
        std::string vm;
        std::uint64_t agent = 0;
        std::string boot;
        std::string checkpoint;
        std::string claimCheckpoint;
        release_reason reason = release_reason::evicted;
        int finishes = 0;
    };

    std::map<task_id, task_entry> tasks;
    std::uint64_t next = 1;
    std::int64_t termMs = 0; ///< term reported for unlisted claims

    log_position add(const task_id &task)
    {
        return tasks[task].lastChange = log_position::of(next++, 0);
    }

    /// Returns the position (for a claim, the attempt) and whether the record was accepted.
    record_settled append(std::uint64_t ticket, const log_record &record)
    {
        const log_position at = log_position::of(next++, 0);
        record_settled settled{ .ticket = ticket, .position = at };
        if (const auto *claim = std::get_if<task_claimed>(&record))
            fold(*claim, at, settled);
        else if (const auto *adopted = std::get_if<task_adopted>(&record))
            fold(*adopted, settled);
        else if (const auto *released = std::get_if<task_released>(&record))
            settled.accepted = endAttempt(released->task, released->attempt, at, "pending");
        else if (const auto *finished = std::get_if<task_finished>(&record))
            settled.accepted = endAttempt(finished->task, finished->attempt, at, "finished");
        else if (const auto *revoked = std::get_if<task_revoked>(&record))
            fold(*revoked, at, settled);
        if (const auto *released = std::get_if<task_released>(&record); released && applied(at)) {
            if (!released->checkpoint.empty())
                tasks[released->task].checkpoint = released->checkpoint;
            tasks[released->task].reason = released->reason;
        }
        return settled;
    }

    [[nodiscard]] authority_grant grant(const authority_request &request) const
    {
        authority_grant result{ .nonce = request.nonce };
        std::set<task_id> named;
        for (const held_task &held : request.held) {
            named.insert(held.task);
            const task_entry &entry = tasks.at(held.task);
            const bool current = entry.vm == request.vm && entry.attempt == held.attempt;
            if (current && entry.phase == "revoking")
                result.withdrawn.push_back({ held.task, held.attempt, withdrawal::revoked });
            else if (!current || entry.phase != "claimed")
                result.withdrawn.push_back({ held.task, held.attempt, withdrawal::not_held });
        }
        for (const auto &[id, entry] : tasks) {
            if (entry.vm == request.vm && !named.contains(id)
                && (entry.phase == "claimed" || entry.phase == "revoking"))
                result.unlisted.push_back({ { id, entry.attempt }, termMs });
        }
        return result;
    }

private:
    [[nodiscard]] bool applied(log_position at) const
    {
        for (const auto &[id, entry] : tasks) {
            if (entry.lastChange == at)
                return true;
        }
        return false;
    }

    void fold(const task_claimed &claim, log_position at, record_settled &settled)
    {
        task_entry &entry = tasks[claim.task];
        if (entry.phase == "claimed" && entry.vm == claim.vm && entry.agent == claim.agent
            && entry.boot == claim.workerBoot && entry.claimBase == claim.base) {
            settled.accepted = true;
            settled.position = entry.attempt;
            return;
        }
        if ((entry.phase != "pending" && entry.phase != "revoking")
            || entry.lastChange != claim.base)
            return;
        entry.phase = "claimed";
        entry.lastChange = entry.attempt = at;
        entry.claimBase = claim.base;
        entry.vm = claim.vm;
        entry.agent = claim.agent;
        entry.boot = claim.workerBoot;
        entry.claimCheckpoint = entry.checkpoint;
        settled.accepted = true;
    }

    void fold(const task_adopted &adopted, record_settled &settled)
    {
        task_entry &entry = tasks[adopted.task];
        settled.accepted = entry.phase == "claimed" && entry.attempt == adopted.attempt
                           && entry.vm == adopted.vm && entry.boot == adopted.workerBoot;
        if (settled.accepted)
            entry.agent = adopted.agent;
    }

    void fold(const task_revoked &revoked, log_position at, record_settled &settled)
    {
        task_entry &entry = tasks[revoked.task];
        settled.accepted = entry.phase == "claimed" && entry.attempt == revoked.attempt;
        if (!settled.accepted)
            return;
        entry.phase = "revoking";
        entry.lastChange = at;
    }

    bool endAttempt(const task_id &task, log_position attempt, log_position at, const char *phase)
    {
        task_entry &entry = tasks[task];
        if (entry.endedAttempt == attempt)
            return true;
        if ((entry.phase != "claimed" && entry.phase != "revoking") || entry.attempt != attempt)
            return false;
        entry.phase = phase;
        entry.lastChange = at;
        entry.endedAttempt = attempt;
        entry.finishes += entry.phase == "finished" ? 1 : 0;
        return true;
    }
};

} // namespace plantainpitch::fakes
