#include "plantainpitch/sched/scheduler.h"

#include "plantainpitch/sched/job_limits.h"
#include "plantainpitch/sched/message_limits.h"
#include "plantainpitch/sched/worker_health.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// Delay before a task whose start was refused is started again.
constexpr std::chrono::milliseconds refusalPause{ 100 };
/// How long a worker that refused a start for lack of capacity gets no new tasks.
constexpr std::chrono::milliseconds refusingWorkerPause{ 500 };

/// Counts one failure of the gang per run, however many members failed in it.
void gangFailed(step_run &members, std::uint32_t run)
{
    if (run <= members.lastFailedRun)
        return;
    members.lastFailedRun = run;
    for (task &each : members.tasks)
        ++each.failures;
}

} // namespace

scheduler::task_location scheduler::findTask(const std::string &name)
{
    const auto parsed = task_name::parse(name);
    if (!parsed)
        return {};
    const auto found = m_jobs.find(parsed->job);
    if (found == m_jobs.end() || parsed->occurrence >= found->second->occurrences.size())
        return {};
    occurrence &occurrence = found->second->occurrences[parsed->occurrence];
    if (parsed->step >= occurrence.steps.size())
        return {};
    step_run &step = occurrence.steps[parsed->step];
    if (parsed->index >= step.tasks.size())
        return {};
    return { found->second.get(), &occurrence, &step, &step.tasks[parsed->index] };
}

void scheduler::release(worker &worker, const std::string &name, std::uint32_t run)
{
    if (worker.release(name, run))
        m_passNeeded = true;
}

/// Returns the orders to which another one, of about \a bytes, can be added.
agent_orders &scheduler::ordersFor(worker &worker, std::size_t bytes)
{
    staged_orders &staged = m_staged.orders[worker.agent];
    // Orders for an earlier incarnation of the worker do not apply to the next one.
    const auto isForOther = [&worker](const agent_orders &orders) {
        return worker_key{ orders.worker, orders.workerStartMs } != worker.key;
    };
    if (!staged.messages.empty() && isForOther(staged.messages.back()))
        staged = {};
    if (staged.messages.empty() || staged.lastBytes + bytes > maxOrderBytes) {
        agent_orders &added = staged.messages.emplace_back();
        added.worker = worker.key.id;
        added.workerStartMs = worker.key.startMs;
        added.number = ++m_lastOrders;
        staged.lastBytes = 0;
    }
    staged.lastBytes += bytes;
    return staged.messages.back();
}

void scheduler::orderStop(worker &worker, const std::string &name, std::uint32_t run)
{
    const auto found = worker.runs.find(name);
    if (found != worker.runs.end() && found->second.run == run)
        found->second.stopOrdered = true;
    if (!worker.connected)
        return; // ordered again once the agent has reported its runs
    auto stop = std::make_unique<run_ref>();
    stop->task = name;
    stop->run = run;
    ordersFor(worker, orderOverheadBytes).stops.push_back(std::move(stop));
}

void scheduler::requeue(const task_location &location)
{
    --location.step->active;
    location.taskState->reported = false;
    if (location.parentJob->ended()) {
        location.taskState->phase = task_phase::dropped;
    } else {
        location.taskState->phase = task_phase::waiting;
        ++location.step->waiting;
    }
    markChanged(*location.parentJob);
    m_passNeeded = true;
}

void scheduler::taskDone(const task_location &location)
{
    const auto stepIndex =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    // A task may wait again because its worker was taken as lost before its end was known.
    const auto finish = [&location](task &task) {
        if (task.phase != task_phase::active && task.phase != task_phase::waiting)
            return;
        if (task.phase == task_phase::active)
            --location.step->active;
        else
            --location.step->waiting;
        ++location.step->done;
        task.phase = task_phase::done;
        task.checkpoint.clear();
    };
    // The members of a gang end together, so the end of one completes all.
    if (location.parentJob->stepSpec(stepIndex).gang)
        std::for_each(location.step->tasks.begin(), location.step->tasks.end(), finish);
    else
        finish(*location.taskState);
    markChanged(*location.parentJob);
    if (location.step->done == location.step->tasks.size())
        stepDone(*location.parentJob, *location.parentOccurrence);
}

void scheduler::taskFailed(const task_location &location, worker &worker, instant now)
{
    const auto stepIndex =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    const step_spec &spec = location.parentJob->stepSpec(stepIndex);
    if (spec.gang)
        gangFailed(*location.step, location.taskState->run);
    else
        ++location.taskState->failures;
    recordFailure(worker, location.parentJob->request.id, now);
    requeue(location);
    if (location.parentJob->ended())
        return;
    failIfExhausted(*location.parentJob);
}

/// Ends a job as failed if one of its tasks has used up the attempts that its queue allows. Without
/// a configuration the limit is not known yet, and nothing starts until it is.
void scheduler::failIfExhausted(job &job)
{
    const queue_config *queue = queueOf(job);
    if (!queue)
        return;
    for (const occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            const bool exhausted =
                    !job.stepSpec(step).longRunning
                    && std::any_of(tasks.begin(), tasks.end(), [queue](const task &each) {
                           return each.phase == task_phase::waiting
                                  && each.failures >= queue->maxAttempts;
                       });
            if (exhausted) {
                endJob(job, job_outcome::failed);
                return;
            }
        }
    }
}

void scheduler::logRunEnd(const worker &worker, const run_end &end, const task_location &location,
                          bool current, instant now)
{
    std::vector<std::pair<std::string, std::string>> fields = {
        { "task", end.task },
        { "run", std::to_string(end.run) },
        { "worker", worker.key.id },
        { "outcome", std::to_string(end.outcome) },
        { "current", current ? "yes" : "no" }
    };
    const char *budget = "";
    if (location.taskState) {
        const auto step =
                static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
        budget = budgetOf(location.parentJob->stepSpec(step));
    }
    if (current) {
        using std::chrono::milliseconds;
        const auto elapsed =
                std::chrono::duration_cast<milliseconds>(now - location.taskState->orderedAt);
        const auto step =
                static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
        const step_spec &spec = location.parentJob->stepSpec(step);
        fields.emplace_back("took_ms", std::to_string(elapsed.count()));
        fields.emplace_back("estimate_ms", std::to_string(spec.estimateMs));
        fields.emplace_back("fills", spec.fills ? "yes" : "no");
        fields.emplace_back("serving_beside", std::to_string(worker.servingRuns));
    }
    log(log_level::info, "run_ended", std::move(fields), budget);
}

/// Stores a checkpoint. One from a gang member applies to all members, as all have to resume from
/// the same checkpoint.
void scheduler::recordCheckpoint(const task_location &location, const std::string &checkpoint)
{
    if (checkpoint.empty())
        return;
    const std::size_t accepted = maxCheckpointBytes(m_options.store.recordBytes);
    if (checkpoint.size() > accepted) {
        log(log_level::error, "checkpoint_too_long",
            { { "job", location.parentJob->request.id },
              { "bytes", std::to_string(checkpoint.size()) },
              { "accepted", std::to_string(accepted) } });
        return;
    }
    const auto step =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    if (!location.parentJob->stepSpec(step).gang) {
        location.taskState->checkpoint = checkpoint;
        return;
    }
    for (task &member : location.step->tasks)
        member.checkpoint = checkpoint;
}

/// Whether the present run of the task, or of all members of its gang, is known to be at work.
bool scheduler::hasBegun(const task_location &location)
{
    const auto step =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    const auto begun = [](const task &each) {
        return each.phase == task_phase::active && each.reported;
    };
    if (!location.parentJob->stepSpec(step).gang)
        return begun(*location.taskState);
    return std::all_of(location.step->tasks.begin(), location.step->tasks.end(), begun);
}

/// Whether the run was taken as lost with its worker and turns out to have completed before. Its
/// work must not be done twice, and a run that has replaced it is not needed.
bool scheduler::completedBeforeItsLoss(const worker &worker, const run_end &end,
                                       const task_location &location)
{
    if (!location.taskState || location.parentJob->ended()
        || static_cast<run_outcome>(end.outcome) != run_outcome::done)
        return false;
    const task &task = *location.taskState;
    const bool waits = task.phase == task_phase::waiting;
    // A start that is on its way cannot be taken back, and must not follow the end that is noted.
    const bool replaced = end.run < task.run && (waits || hasBegun(location));
    const bool last = waits && task.run == end.run && task.place == worker.key;
    return (replaced || last)
           && !location.parentJob->stepSpec(task_name::parse(end.task)->step).longRunning;
}

void scheduler::onRunEnd(worker &worker, const run_end &end, instant now)
{
    release(worker, end.task, end.run);
    const task_location location = findTask(end.task);
    const auto outcome = static_cast<run_outcome>(end.outcome);
    const bool current = location.taskState && location.taskState->phase == task_phase::active
                         && location.taskState->run == end.run
                         && location.taskState->place == worker.key;
    const bool completedBefore = completedBeforeItsLoss(worker, end, location);
    logRunEnd(worker, end, location, current || completedBefore, now);
    if (completedBefore) {
        location.parentJob->begun = true;
        location.parentJob->lastActive = now;
        if (location.taskState->suspected())
            clearSuspicion(location, worker, end.task);
        stopReplacement(location, end.task);
        taskDone(location);
        return;
    }
    if (!current)
        return;
    location.parentJob->begun = true;
    location.parentJob->lastActive = now;
    location.taskState->endWait();
    // A run that ended in another way may not have got to work.
    const bool endedByItself = outcome == run_outcome::done || outcome == run_outcome::failed;
    if (location.taskState->suspected() && endedByItself)
        clearSuspicion(location, worker, end.task);
    recordCheckpoint(location, end.checkpoint);
    const auto step =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    const bool longRunning = location.parentJob->stepSpec(step).longRunning;
    if (outcome == run_outcome::done && !longRunning && !location.parentJob->ended()) {
        recordSuccess(worker, location.taskState->orderedAt, now);
        worker.progress.onCompleted(end.task);
        taskDone(location);
    } else if (outcome == run_outcome::failed) {
        taskFailed(location, worker, now);
    } else {
        requeue(location);
    }
}

void scheduler::onRunRefusal(worker &worker, const run_refusal &refusal, instant now)
{
    release(worker, refusal.task, refusal.run);
    const task_location location = findTask(refusal.task);
    if (!location.taskState || location.taskState->phase != task_phase::active
        || location.taskState->run != refusal.run || location.taskState->place != worker.key)
        return;
    const step_spec &spec = location.parentJob->stepSpec(task_name::parse(refusal.task)->step);
    log(log_level::warning, "start_refused",
        { { "task", refusal.task },
          { "run", std::to_string(refusal.run) },
          { "worker", worker.key.id },
          { "reason", refusal.reason } },
        budgetOf(spec));
    requeue(location);
    if (refusal.reason == "not_there")
        treatLostTaskAsOverdue(location, now);
    location.taskState->retryAt = std::max(location.taskState->retryAt, now + refusalPause);
    location.taskState->refused = true;
    stopGang(location);
    // The refusal of what was planned on a former capacity says nothing about the worker.
    const bool plannedOnThisCapacity = location.taskState->orderedAt >= worker.capacitySince;
    if (refusal.reason == "room" && plannedOnThisCapacity) {
        if (worker.excludedUntil <= now) {
            worker.exclusionReason = "refused_for_room";
            worker.exclusionCause = refusal.task;
        }
        worker.excludedUntil = std::max(worker.excludedUntil, now + refusingWorkerPause);
    }
    if (refusal.reason == "ticket")
        m_advice.ticketRefused(task_name::parse(refusal.task)->stepText(), worker.key.id);
    if (refusal.reason == "unhealthy")
        recordFailure(worker, refusal.task, now);
}

/// Stops the run that was ordered in place of one that turns out to have completed.
void scheduler::stopReplacement(const task_location &location, const std::string &name)
{
    const task &task = *location.taskState;
    const auto found = m_workers.find(task.place);
    if (task.phase != task_phase::active || found == m_workers.end())
        return;
    orderStop(*found->second, name, task.run);
    stopGang(location);
}

/// Stops the running members of a gang after the start of one was refused: they would hold their
/// resources and wait for a member that never starts.
void scheduler::stopGang(const task_location &location)
{
    const auto step =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    if (!location.parentJob->stepSpec(step).gang)
        return;
    for (std::uint32_t index = 0; index < location.step->tasks.size(); ++index) {
        const task &member = location.step->tasks[index];
        const auto found = m_workers.find(member.place);
        if (member.phase != task_phase::active || found == m_workers.end())
            continue;
        const task_name name{ location.parentJob->request.id, location.parentOccurrence->number,
                              step, index };
        orderStop(*found->second, name.text(), member.run);
    }
}

/// Has the tasks of the worker's runs start again, but for runs in \a unsettled, which may still
/// begin.
void scheduler::requeueLostRuns(worker &worker, const char *reason, instant now,
                                const std::vector<std::unique_ptr<run_ref>> &unsettled)
{
    auto runs = worker.runs;
    for (const auto &each : unsettled) {
        const auto found = runs.find(each->task);
        if (found != runs.end() && found->second.run == each->run)
            runs.erase(found);
    }
    if (!runs.empty()) {
        log(log_level::warning, "runs_lost",
            { { "worker", worker.key.id },
              { "start_ms", std::to_string(worker.key.startMs) },
              { "runs", std::to_string(runs.size()) },
              { "reason", reason } });
    }
    for (const auto &[name, allocation] : runs)
        worker.release(name, allocation.run);
    for (const auto &[name, allocation] : runs) {
        const task_location location = findTask(name);
        if (!location.taskState || location.taskState->phase != task_phase::active
            || location.taskState->run != allocation.run)
            continue;
        if (allocation.longRunning)
            log(log_level::warning, "run_lost",
                { { "task", name },
                  { "run", std::to_string(allocation.run) },
                  { "worker", worker.key.id },
                  { "reason", reason } },
                budgetOf(location.parentJob->stepSpec(task_name::parse(name)->step)));
        requeue(location);
        treatLostTaskAsOverdue(location, now);
    }
    m_passNeeded = true;
}

} // namespace plantainpitch::sched
