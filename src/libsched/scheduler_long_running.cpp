#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// A task of a long-running step that has waited this long goes before all other work, whatever
/// its queue. Until then it competes in the order of the queues.
constexpr milliseconds overdueAfter{ 1'000 };
/// An overdue task also uses excluded workers after this long, so that its runs on a worker that
/// fails everything are at least this far apart.
constexpr milliseconds useExcludedAfter{ 2'000 };
/// Room is held on one more worker each time the task has waited this much longer, because the
/// runs on the first one may take longer than estimated.
constexpr milliseconds holdInterval{ 1'500 };
constexpr std::int64_t maxHeldWorkers = 3;
/// Tasks considered per pass, shared evenly among the steps that have some; bounds the duration of
/// a pass. One task of each step is considered in any case, as those of other steps may fit
/// nowhere.
constexpr std::size_t maxTasksPerPass = 400;
/// Tasks of a step for which room is held in one pass; each costs a look at all workers.
constexpr std::size_t maxHoldsPerStep = 32;

} // namespace

/// Treats the job's waiting long-running tasks as overdue after a takeover: how long they have
/// waited is not stored, and a wait that began anew would let other work take their places.
void scheduler::treatWaitingTasksAsOverdue(job &job, instant now)
{
    for (occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!job.stepSpec(step).longRunning || !job.dependenciesDone(occurrence, step))
                continue;
            for (task &task : occurrence.steps[step].tasks) {
                if (task.phase == task_phase::waiting)
                    task.waitingSince = now - overdueAfter;
            }
        }
    }
}

/// Treats a long-running task as overdue after its run was lost with the worker, which is known
/// only seconds later: a wait that began then would let other work take its place.
void scheduler::treatLostTaskAsOverdue(const task_location &location, instant now)
{
    const auto step =
            static_cast<std::uint32_t>(location.step - location.parentOccurrence->steps.data());
    task &task = *location.taskState;
    if (task.phase == task_phase::waiting && location.parentJob->stepSpec(step).longRunning)
        task.waitingSince = std::min(task.waitingSince.value_or(now), now - overdueAfter);
}

/// Returns the long-running tasks that have waited too long, the longest wait first and among equal
/// ones that of the oldest job. A gang counts as one task that waits once all its members do.
std::vector<scheduler::overdue_task> scheduler::findOverdueLongRunning(instant now)
{
    std::vector<overdue_task> result;
    const auto addStep = [&](job &job, const queue_config &queue, occurrence &occurrence,
                             std::uint32_t step) {
        const bool gang = job.stepSpec(step).gang;
        auto &tasks = occurrence.steps[step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            task &task = tasks[index];
            if (task.phase != task_phase::waiting)
                continue;
            if (!task.waitingSince)
                task.waitingSince = now;
            if (!gang && now - *task.waitingSince >= overdueAfter)
                result.push_back({ *task.waitingSince, &job, &queue, &occurrence, step, index });
        }
        if (!gang || occurrence.steps[step].waiting < tasks.size())
            return;
        const auto last =
                std::max_element(tasks.begin(), tasks.end(), [](const auto &a, const auto &b) {
                    return *a.waitingSince < *b.waitingSince;
                });
        if (now - *last->waitingSince >= overdueAfter)
            result.push_back({ *last->waitingSince, &job, &queue, &occurrence, step, 0 });
    };
    for (job *job : m_open) {
        const queue_config *queue = queueOf(*job);
        if (!queue || !job->isLongRunning())
            continue;
        for (occurrence &occurrence : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (job->stepSpec(step).longRunning && occurrence.steps[step].waiting > 0
                    && job->dependenciesDone(occurrence, step))
                    addStep(*job, *queue, occurrence, step);
            }
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const auto &a, const auto &b) {
        return std::tie(a.since, a.parentJob->received) < std::tie(b.since, b.parentJob->received);
    });
    if (result.size() <= maxTasksPerPass)
        return result;
    std::map<const step_run *, std::size_t> tasksOfStep;
    const auto stepOf = [](const overdue_task &each) {
        return &each.parentOccurrence->steps[each.step];
    };
    for (const overdue_task &each : result)
        ++tasksOfStep[stepOf(each)];
    const std::size_t share = std::max<std::size_t>(1, maxTasksPerPass / tasksOfStep.size());
    tasksOfStep.clear();
    std::erase_if(result,
                  [&](const overdue_task &each) { return ++tasksOfStep[stepOf(each)] > share; });
    return result;
}

/// Places overdue long-running tasks before all other work. For those that fit nowhere, room is
/// held, because smaller tasks would otherwise take each piece of capacity that becomes free.
void scheduler::placeOverdueLongRunning(instant now)
{
    for (auto &[key, worker] : m_workers)
        worker->held = worker->heldFromBatch = {};
    std::uint32_t waitingLines = 0;
    // Capacity only shrinks during a pass, so what one task of a step did not find, the next ones
    // need not look for.
    std::set<const step_run *> withoutPlace;
    std::map<const step_run *, std::size_t> holds;
    for (const overdue_task &each : findOverdueLongRunning(now)) {
        const step_run *step = &each.parentOccurrence->steps[each.step];
        const bool seen = withoutPlace.count(step) > 0;
        const bool mayUseExcluded = now - each.since >= useExcludedAfter;
        if (each.queue->needsTickets && !seen)
            requestTickets(*each.parentJob, *each.queue, *each.parentOccurrence, each.step,
                           mayUseExcluded, now);
        const placement_terms terms{ .starved = true,
                                     .overdue = true,
                                     .mayUseExcluded = mayUseExcluded };
        if (!seen && placeOverdueTask(each, terms, now))
            continue;
        const task &task = step->tasks[each.index];
        if (task.retryAt <= now && !task.needsTrial()) // others need no place for a trial
            withoutPlace.insert(step);
        logWaitingTask(each, waitingLines, now);
        if (holds[step] >= maxHoldsPerStep)
            continue;
        ++holds[step];
        if (each.parentJob->stepSpec(each.step).gang)
            holdRoomForGang(each, now);
        else if (!holdRoom(each, now))
            holds[step] = maxHoldsPerStep;
    }
}

/// Returns whether the task, or all members of the gang, were started.
bool scheduler::placeOverdueTask(const overdue_task &waiting, const placement_terms &terms,
                                 instant now)
{
    job &job = *waiting.parentJob;
    occurrence &occurrence = *waiting.parentOccurrence;
    const step_spec &spec = job.stepSpec(waiting.step);
    if (spec.gang)
        return placeGang(job, *waiting.queue, occurrence, waiting.step, terms, now);
    const task &task = occurrence.steps[waiting.step].tasks[waiting.index];
    if (task.retryAt > now)
        return false;
    const auto eligible =
            eligibleWorkers(job, *waiting.queue, occurrence, waiting.step, terms, now);
    worker *choice = task.suspected() ? chooseForSuspect(eligible, spec, task, now)
                                      : m_placement.choose(eligible, spec, task);
    if (!choice)
        return false;
    start(job, occurrence, waiting.step, waiting.index, *choice, task.run + 1, now);
    return true;
}

/// Returns the workers that could run the task if their batch work had ended, the one nearest to
/// having room for it first.
std::vector<worker *> scheduler::findWorkersToHold(const overdue_task &waiting, instant now)
{
    const step_spec &spec = waiting.parentJob->stepSpec(waiting.step);
    const resources needed = reservation(spec);
    const auto &tasks = waiting.parentOccurrence->steps[waiting.step].tasks;
    const std::string stepName = task_name{ waiting.parentJob->request.id,
                                            waiting.parentOccurrence->number, waiting.step, 0 }
                                         .stepText();
    std::vector<std::pair<double, worker *>> candidates;
    for (const auto &[key, entry] : m_workers) {
        worker *const candidate = entry.get(); // lambdas cannot capture the names of a binding
        if (!mayRun(*candidate, *waiting.queue, spec) || candidate->excludedUntil > now
            || !needed.fitsWhereNeeded(candidate->capacity - candidate->usedByLongRunning
                                       - candidate->held)
            || !m_placement.admits(*candidate, spec, { .starved = true })
            || (waiting.queue->needsTickets && !m_advice.ticketFor(stepName, key.id, now)))
            continue;
        const auto isHere = [candidate](const task &each) {
            return each.phase == task_phase::active && each.place == candidate->key;
        };
        if (spec.maxPerVm > 0 && std::count_if(tasks.begin(), tasks.end(), isHere) >= spec.maxPerVm)
            continue;
        candidates.emplace_back(candidate->shortage(needed), candidate);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<worker *> result;
    result.reserve(candidates.size());
    for (const auto &[shortage, candidate] : candidates)
        result.push_back(candidate);
    return result;
}

/// Keeps room for the task free on the workers that are nearest to having it. The first one is held
/// from all tasks, but only on half of the workers, so that overdue tasks that would fit cannot
/// block each other everywhere; the others are held from batch work. Returns false if no worker
/// could run the task.
bool scheduler::holdRoom(const overdue_task &waiting, instant now)
{
    const step_spec &spec = waiting.parentJob->stepSpec(waiting.step);
    std::size_t suitable = 0;
    std::size_t heldWorkers = 0;
    for (const auto &[key, candidate] : m_workers) {
        if (!mayRun(*candidate, *waiting.queue, spec))
            continue;
        ++suitable;
        heldWorkers += candidate->held == resources{} ? 0 : 1;
    }
    const std::vector<worker *> candidates = findWorkersToHold(waiting, now);
    const auto wanted = std::min<std::int64_t>(
            maxHeldWorkers, 1 + (now - waiting.since - overdueAfter) / holdInterval);
    for (std::size_t i = 0; i < candidates.size() && static_cast<std::int64_t>(i) < wanted; ++i) {
        worker &chosen = *candidates[i];
        const bool fromAll = i == 0 && 2 * heldWorkers < std::max<std::size_t>(suitable, 1);
        resources &room = fromAll ? chosen.held : chosen.heldFromBatch;
        room = room + reservation(spec);
    }
    return !candidates.empty();
}

/// Keeps room for all members of the gang free from batch work, if there are enough workers for
/// them. Overdue tasks of other services may use it, as the gang may need most of the fleet.
void scheduler::holdRoomForGang(const overdue_task &waiting, instant now)
{
    const step_spec &spec = waiting.parentJob->stepSpec(waiting.step);
    const resources needed = reservation(spec);
    std::vector<worker *> places;
    for (worker *candidate : findWorkersToHold(waiting, now)) {
        resources available = candidate->capacity - candidate->usedByLongRunning - candidate->held
                              - candidate->heldFromBatch;
        for (std::uint32_t here = 0; places.size() < spec.count && needed.fits(available)
                                     && (spec.maxPerVm == 0 || here < spec.maxPerVm);
             ++here) {
            places.push_back(candidate);
            available = available - needed;
        }
    }
    if (places.size() < spec.count)
        return;
    for (worker *each : places)
        each->heldFromBatch = each->heldFromBatch + needed;
}

} // namespace plantainpitch::sched
