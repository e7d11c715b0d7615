#include "plantainpitch/log/cell_state.h"

#include "fold_results.h"

#include <algorithm>

namespace plantainpitch {

using detail::acceptedAt;
using detail::refusedAt;

namespace {

constexpr std::size_t maxFailedVms = 8;

bool isHeldUnder(const task_state &task, log_position attempt)
{
    return isHeld(task.phase) && task.attempt == attempt;
}

bool isCurrentClaim(const task_state &task, const task_claimed &claim)
{
    return isHeld(task.phase) && task.claimBase == claim.base && task.vm == claim.vm
           && task.agent == claim.agent && task.workerBoot == claim.workerBoot;
}

void countFailure(task_state &task)
{
    ++task.failures;
    const bool known = std::find(task.failedVms.begin(), task.failedVms.end(), task.vm)
                       != task.failedVms.end();
    if (!known && task.failedVms.size() < maxFailedVms)
        task.failedVms.push_back(task.vm);
}

} // namespace

/// Moves a task to a phase and keeps the indexes and counts in step. The holder in the task must be
/// the one that held it before, or, for the phase claimed, the new one.
void cell_state::setPhase(const task_id &id, found_task found, task_phase phase, log_position at)
{
    task_state &task = *found.task;
    const held_task held{ .job = found.job, .index = id.index };
    if (isHeld(task.phase) && !isHeld(phase))
        removeHeld(task.vm, held);
    else if (!isHeld(task.phase) && isHeld(phase))
        addHeld(task.vm, held);
    if (isUnplaced(task.phase) && !isUnplaced(phase))
        m_unplaced.erase(id);
    else if (!isUnplaced(task.phase) && isUnplaced(phase))
        m_unplaced.insert(id);
    if (isFinal(phase))
        --found.job->openTasks;
    task.phase = phase;
    task.lastChange = at;
}

fold_result cell_state::fold(const job_submitted &record, log_position at)
{
    if (record.job.empty())
        return refusedAt(at, "job id is empty");
    if (record.taskCount == 0 || record.taskCount > job_submitted::maxTaskCount)
        return refusedAt(at, "task count is out of range");
    const auto [it, isNew] = m_jobs.try_emplace(record.job);
    if (!isNew)
        return refusedAt(at, "job id is known");
    job_state &job = it->second;
    job.description = record;
    job.openTasks = record.taskCount;
    job.tasks.resize(record.taskCount);
    auto behind = m_unplaced.lower_bound({ .job = record.job, .index = 0 });
    for (std::uint32_t i = 0; i < record.taskCount; ++i) {
        job.tasks[i].lastChange = at;
        m_unplaced.insert(behind, { .job = record.job, .index = i });
    }
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const job_cancelled &record, log_position at)
{
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end())
        return refusedAt(at, "job is unknown");
    job_state &job = it->second;
    job.cancelled = true;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        task_state &task = job.tasks[i];
        if (task.phase == task_phase::pending) {
            setPhase({ .job = record.job, .index = i }, { .job = &job, .task = &task },
                     task_phase::cancelled, at);
        }
    }
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const task_claimed &record, found_task found, log_position at)
{
    task_state &task = *found.task;
    if (isCurrentClaim(task, record))
        return acceptedAt(at, task.lastChange);
    if (!isUnplaced(task.phase))
        return refusedAt(at, "task is not pending or revoking", task.lastChange);
    if (task.lastChange != record.base)
        return refusedAt(at, "base is not the last change", task.lastChange);
    if (isHeld(task.phase)) { // the holder before did not release the task
        const held_task held{ .job = found.job, .index = record.task.index };
        removeHeld(task.vm, held);
        addHeld(record.vm, held);
    }
    task.vm = record.vm;
    setPhase(record.task, found, task_phase::claimed, at);
    task.attempt = at;
    task.claimBase = record.base;
    task.agent = record.agent;
    task.workerBoot = record.workerBoot;
    ++task.attempts;
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const task_adopted &record, found_task found, log_position at)
{
    task_state &task = *found.task;
    if (task.phase != task_phase::claimed)
        return refusedAt(at, "task is not claimed", task.lastChange);
    if (task.attempt != record.attempt)
        return refusedAt(at, "attempt is not the current one", task.lastChange);
    if (task.vm != record.vm || task.workerBoot != record.workerBoot)
        return refusedAt(at, "task is held by another VM or worker boot", task.lastChange);
    if (task.agent == record.agent)
        return acceptedAt(at, task.lastChange);
    task.agent = record.agent;
    task.lastChange = at;
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const task_released &record, found_task found, log_position at)
{
    task_state &task = *found.task;
    if (!record.attempt.isNone() && task.releasedAttempt == record.attempt)
        return acceptedAt(at, task.lastChange);
    if (!isHeldUnder(task, record.attempt))
        return refusedAt(at, "task is not held under this attempt", task.lastChange);
    const bool cancelled = found.job->cancelled;
    setPhase(record.task, found, cancelled ? task_phase::cancelled : task_phase::pending, at);
    task.releasedAttempt = record.attempt;
    if (!record.checkpoint.empty())
        task.checkpoint = record.checkpoint;
    if (countsAsFailure(record.reason))
        countFailure(task);
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const task_finished &record, found_task found, log_position at)
{
    task_state &task = *found.task;
    if (task.phase == task_phase::finished && task.attempt == record.attempt)
        return acceptedAt(at, task.lastChange);
    if (!isHeldUnder(task, record.attempt))
        return refusedAt(at, "task is not held under this attempt", task.lastChange);
    setPhase(record.task, found, task_phase::finished, at);
    task.result = record.result;
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const task_failed &record, found_task found, log_position at)
{
    task_state &task = *found.task;
    if (!isUnplaced(task.phase))
        return refusedAt(at, "task is not pending or revoking", task.lastChange);
    if (task.lastChange != record.base)
        return refusedAt(at, "base is not the last change", task.lastChange);
    const bool cancelled = found.job->cancelled;
    setPhase(record.task, found, cancelled ? task_phase::cancelled : task_phase::failed, at);
    task.result = record.reason;
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const task_revoked &record, found_task found, log_position at)
{
    task_state &task = *found.task;
    if (task.phase == task_phase::revoking && task.attempt == record.attempt)
        return acceptedAt(at, task.lastChange);
    if (task.phase != task_phase::claimed || task.attempt != record.attempt)
        return refusedAt(at, "task is not claimed under this attempt", task.lastChange);
    setPhase(record.task, found, task_phase::revoking, at);
    return acceptedAt(at, at);
}

} // namespace plantainpitch
