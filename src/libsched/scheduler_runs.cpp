#include "plantainpitch/sched/scheduler.h"

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

scheduler::task_place scheduler::find(const std::string &name)
{
    const auto parsed = task_name::parse(name);
    if (!parsed)
        return {};
    const auto found = m_jobs.find(parsed->job);
    if (found == m_jobs.end() || parsed->occurrence >= found->second->occurrences.size())
        return {};
    occurrence &within = found->second->occurrences[parsed->occurrence];
    if (parsed->step >= within.steps.size())
        return {};
    step_run &step = within.steps[parsed->step];
    if (parsed->index >= step.tasks.size())
        return {};
    return { found->second.get(), &within, &step, &step.tasks[parsed->index] };
}

void scheduler::release(worker &where, const std::string &name, std::uint32_t run)
{
    if (where.release(name, run))
        m_passNeeded = true;
}

agent_orders &scheduler::ordersFor(worker &where)
{
    agent_orders &orders = m_staged.orders[where.agent];
    // Orders for an earlier incarnation of the worker do not apply to the next one.
    if (orders.number == 0 || orders.workerStartMs != where.key.startMs) {
        orders = {};
        orders.workerStartMs = where.key.startMs;
        orders.number = ++m_lastOrders;
    }
    return orders;
}

void scheduler::orderStop(worker &where, const std::string &name, std::uint32_t run)
{
    const auto found = where.runs.find(name);
    if (found != where.runs.end() && found->second.run == run)
        found->second.stopOrdered = true;
    if (!where.connected)
        return; // ordered again once the agent has reported its runs
    auto stop = std::make_unique<run_ref>();
    stop->task = name;
    stop->run = run;
    ordersFor(where).stops.push_back(std::move(stop));
}

void scheduler::requeue(const task_place &place)
{
    --place.step->active;
    place.item->seen = false;
    if (place.owner->ended()) {
        place.item->phase = task_phase::dropped;
    } else {
        place.item->phase = task_phase::waiting;
        ++place.step->waiting;
    }
    markChanged(*place.owner);
    m_passNeeded = true;
}

void scheduler::taskDone(const task_place &place)
{
    const auto number = static_cast<std::uint32_t>(place.step - place.within->steps.data());
    const auto finish = [&place](task &item) {
        if (item.phase != task_phase::active)
            return;
        --place.step->active;
        ++place.step->done;
        item.phase = task_phase::done;
        item.checkpoint.clear();
    };
    // The members of a gang end together, so the end of one completes all.
    if (place.owner->stepSpec(number).gang)
        std::for_each(place.step->tasks.begin(), place.step->tasks.end(), finish);
    else
        finish(*place.item);
    markChanged(*place.owner);
    if (place.step->done == place.step->tasks.size())
        stepDone(*place.owner, *place.within);
}

void scheduler::taskFailed(const task_place &place, worker &where, instant now)
{
    const auto number = static_cast<std::uint32_t>(place.step - place.within->steps.data());
    const step_spec &spec = place.owner->stepSpec(number);
    if (spec.gang)
        gangFailed(*place.step, place.item->run);
    else
        ++place.item->failures;
    noteFailure(where, place.owner->request.id, now);
    requeue(place);
    if (place.owner->ended())
        return;
    failIfExhausted(*place.owner);
}

/// Ends a job as failed if one of its tasks has used up the attempts that its queue allows. Without
/// a configuration the limit is not known yet, and nothing starts until it is.
void scheduler::failIfExhausted(job &target)
{
    const queue_config *queue = queueOf(target);
    if (!queue)
        return;
    for (const occurrence &within : target.occurrences) {
        for (std::uint32_t step = 0; step < within.steps.size(); ++step) {
            const auto &tasks = within.steps[step].tasks;
            const bool exhausted =
                    !target.stepSpec(step).longRunning
                    && std::any_of(tasks.begin(), tasks.end(), [queue](const task &each) {
                           return each.phase == task_phase::waiting
                                  && each.failures >= queue->maxAttempts;
                       });
            if (exhausted) {
                endJob(target, job_outcome::failed);
                return;
            }
        }
    }
}

void scheduler::logRunEnd(const worker &where, const run_end &end, const task_place &place,
                          bool current, instant now)
{
    std::vector<std::pair<std::string, std::string>> fields = {
        { "task", end.task },
        { "run", std::to_string(end.run) },
        { "worker", where.key.id },
        { "outcome", std::to_string(end.outcome) },
        { "current", current ? "yes" : "no" }
    };
    if (current) {
        using std::chrono::milliseconds;
        const auto took = std::chrono::duration_cast<milliseconds>(now - place.item->orderedAt);
        const auto step = static_cast<std::uint32_t>(place.step - place.within->steps.data());
        const step_spec &spec = place.owner->stepSpec(step);
        fields.emplace_back("took_ms", std::to_string(took.count()));
        fields.emplace_back("estimate_ms", std::to_string(spec.estimateMs));
        fields.emplace_back("fills", spec.fills ? "yes" : "no");
        fields.emplace_back("serving_beside", std::to_string(where.serving));
    }
    log(log_level::info, "run_ended", std::move(fields));
}

/// Stores a checkpoint. One from a gang member applies to all members, as all have to resume from
/// the same checkpoint.
void scheduler::noteCheckpoint(const task_place &place, const std::string &checkpoint)
{
    if (checkpoint.empty())
        return;
    const auto step = static_cast<std::uint32_t>(place.step - place.within->steps.data());
    if (!place.owner->stepSpec(step).gang) {
        place.item->checkpoint = checkpoint;
        return;
    }
    for (task &member : place.step->tasks)
        member.checkpoint = checkpoint;
}

void scheduler::onRunEnd(worker &where, const run_end &end, instant now)
{
    release(where, end.task, end.run);
    const task_place place = find(end.task);
    const auto outcome = static_cast<run_outcome>(end.outcome);
    const bool current = place.item && place.item->phase == task_phase::active
                         && place.item->run == end.run && place.item->place == where.key;
    logRunEnd(where, end, place, current, now);
    if (!current)
        return;
    place.owner->begun = true;
    noteCheckpoint(place, end.checkpoint);
    const auto step = static_cast<std::uint32_t>(place.step - place.within->steps.data());
    const bool lasting = place.owner->stepSpec(step).longRunning;
    if (outcome == run_outcome::done && !lasting && !place.owner->ended()) {
        noteSuccess(where);
        taskDone(place);
    } else if (outcome == run_outcome::failed) {
        taskFailed(place, where, now);
    } else {
        requeue(place);
    }
}

void scheduler::onRunRefusal(worker &where, const run_refusal &refusal, instant now)
{
    release(where, refusal.task, refusal.run);
    const task_place place = find(refusal.task);
    if (!place.item || place.item->phase != task_phase::active || place.item->run != refusal.run
        || place.item->place != where.key)
        return;
    log(log_level::warning, "start_refused",
        { { "task", refusal.task },
          { "run", std::to_string(refusal.run) },
          { "worker", where.key.id },
          { "reason", refusal.reason } });
    requeue(place);
    place.item->retryAt = now + refusalPause;
    stopGang(place);
    if (refusal.reason == "room")
        where.avoidUntil = std::max(where.avoidUntil, now + refusingWorkerPause);
    if (refusal.reason == "ticket")
        m_advice.ticketRefused(task_name::parse(refusal.task)->stepText(), where.key.id);
    if (refusal.reason == "unhealthy")
        noteFailure(where, refusal.task, now);
}

/// Stops the running members of a gang after the start of one was refused: they would hold their
/// resources and wait for a member that never starts.
void scheduler::stopGang(const task_place &place)
{
    const auto step = static_cast<std::uint32_t>(place.step - place.within->steps.data());
    if (!place.owner->stepSpec(step).gang)
        return;
    for (std::uint32_t index = 0; index < place.step->tasks.size(); ++index) {
        const task &member = place.step->tasks[index];
        const auto where = m_workers.find(member.place);
        if (member.phase != task_phase::active || where == m_workers.end())
            continue;
        const task_name name{ place.owner->request.id, place.within->number, step, index };
        orderStop(*where->second, name.text(), member.run);
    }
}

void scheduler::requeueLostRuns(worker &where, const char *reason)
{
    if (!where.runs.empty()) {
        log(log_level::warning, "runs_lost",
            { { "worker", where.key.id },
              { "start_ms", std::to_string(where.key.startMs) },
              { "runs", std::to_string(where.runs.size()) },
              { "reason", reason } });
    }
    const auto runs = where.runs;
    for (const auto &[name, held] : runs)
        where.release(name, held.run);
    for (const auto &[name, held] : runs) {
        const task_place place = find(name);
        if (place.item && place.item->phase == task_phase::active && place.item->run == held.run)
            requeue(place);
    }
    m_passNeeded = true;
}

} // namespace plantainpitch::sched
