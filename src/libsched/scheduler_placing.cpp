#include "plantainpitch/sched/message_limits.h"
#include "plantainpitch/sched/scheduler.h"

#include "plantainpitch/sched/worker_health.h"

#include <algorithm>
#include <limits>

namespace plantainpitch::sched {

namespace {

/// A job with startable tasks is starved if none of its tasks has been active for this long. Work
/// that waits for three seconds although there is free capacity counts as lost.
constexpr std::chrono::milliseconds starvationThreshold{ 1'500 };
/// The queue counts as draining if no job has been submitted for this long.
constexpr std::chrono::milliseconds drainDetectionDelay{ 2'000 };
/// Waiting jobs per worker up to which the queue counts as short. In a longer queue, starved jobs
/// would only take capacity from jobs that can still meet their objective.
constexpr double shortQueueJobsPerWorker = 0.5;
/// A job that has stood still for this long needs tickets for further workers, excluded ones too.
/// Tickets take a second or so.
constexpr std::chrono::milliseconds stalledAfter{ 1'000 };
/// Jobs considered per pass; bounds the duration of a pass.
constexpr std::size_t maxJobsPerPass = 400;

/// Number of tasks of the given size that fit on an empty worker.
std::int64_t taskSlotsOn(const resources &capacity, const resources &needed)
{
    std::int64_t count = std::numeric_limits<std::int32_t>::max();
    if (needed.cpu > 0)
        count = std::min(count, capacity.cpu / needed.cpu);
    if (needed.memoryMb > 0)
        count = std::min(count, capacity.memoryMb / needed.memoryMb);
    if (needed.accelerators > 0)
        count = std::min(count, capacity.accelerators / needed.accelerators);
    return count;
}

std::map<std::string, std::vector<worker *>> byRack(const std::vector<worker *> &workers)
{
    std::map<std::string, std::vector<worker *>> racks;
    for (worker *each : workers)
        racks[each->rack].push_back(each);
    return racks;
}

/// Whether as many tasks of the step are on the worker as may be.
bool isAtTaskLimit(const worker &candidate, const step_spec &spec, const step_run &step)
{
    if (spec.maxPerVm == 0)
        return false;
    const auto here = std::count_if(step.tasks.begin(), step.tasks.end(), [&](const task &each) {
        return each.phase == task_phase::active && each.place == candidate.key;
    });
    return here >= spec.maxPerVm;
}

/// Whether all tasks of the steps that \a step depends on have been started, so that it is likely
/// to become startable soon.
bool dependenciesStarted(const job &job, const occurrence &occurrence, std::uint32_t step)
{
    const auto &prerequisites = job.stepSpec(step).dependsOn;
    return std::all_of(
            prerequisites.begin(), prerequisites.end(),
            [&occurrence](std::uint32_t each) { return occurrence.steps[each].waiting == 0; });
}

} // namespace

/// Whether the worker takes tasks of the step at all, whatever its load and its health.
bool scheduler::mayRun(const worker &candidate, const queue_config &queue, const step_spec &step)
{
    const auto &labels = candidate.labels;
    return candidate.isUsable() && candidate.service == queue.service
           && (step.requiredLabel.empty()
               || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

std::vector<worker *> scheduler::eligibleWorkers(const job &job, const queue_config &queue,
                                                 const occurrence &occurrence, std::uint32_t step,
                                                 const placement_terms &terms, instant now)
{
    const step_spec &spec = job.stepSpec(step);
    const resources needed = reservation(spec);
    const std::string name = task_name{ job.request.id, occurrence.number, step, 0 }.stepText();
    ++m_workerSearches;
    std::vector<worker *> result;
    std::vector<worker *> kept;
    std::vector<worker *> excluded;
    for (auto &[key, entry] : m_workers) {
        worker *const candidate = entry.get(); // lambdas cannot capture the names of a binding
        if (!mayRun(*candidate, queue, spec) || candidate->trials > 0
            || !candidate->hasRoomFor(needed, terms.mayUseHeldFromBatch())
            || !m_placement.admits(*candidate, spec, terms))
            continue;
        const bool keptForOthers =
                !terms.overdue
                && (!candidate->hasRoomFor(needed)
                    || (!candidate->keptForJob.empty() && candidate->keptForJob != job.request.id));
        if (keptForOthers && !terms.mayUseReserved)
            continue;
        const bool excludedNow = candidate->excludedUntil > now;
        if (excludedNow && (!terms.mayUseExcluded || (!terms.overdue && !mayTry(*candidate, now))))
            continue;
        if (queue.needsTickets && !m_advice.ticketFor(name, key.id, now))
            continue;
        if (isAtTaskLimit(*candidate, spec, occurrence.steps[step]))
            continue;
        if (excludedNow)
            excluded.push_back(candidate);
        else
            (keptForOthers ? kept : result).push_back(candidate);
    }
    if (terms.combineWorkers) {
        result.insert(result.end(), kept.begin(), kept.end());
        result.insert(result.end(), excluded.begin(), excluded.end());
        return result;
    }
    if (!result.empty())
        return result;
    return kept.empty() ? excluded : kept;
}

/// Whether this pass has found no worker for a step that asks no more. Saves looking at all workers
/// for each of the steps that wait in a full fleet.
bool scheduler::fitsNowhere(const placement_request &request, const job &job) const
{
    const bool mayUseKeptWorker = job.request.id == m_keptLateJob;
    return !mayUseKeptWorker
           && std::any_of(
                   m_unplaceable.begin(), m_unplaceable.end(),
                   [&request](const placement_request &each) { return request.asksAtLeast(each); });
}

void scheduler::start(job &job, occurrence &occurrence, std::uint32_t step, std::uint32_t index,
                      worker &worker, std::uint32_t run, instant now)
{
    const step_spec &spec = job.stepSpec(step);
    step_run &stepRun = occurrence.steps[step];
    task &task = stepRun.tasks[index];
    const std::string name = task_name{ job.request.id, occurrence.number, step, index }.text();
    --stepRun.waiting;
    ++stepRun.active;
    task.phase = task_phase::active;
    task.run = run;
    task.place = worker.key;
    task.reported = false;
    task.orderedAt = now;
    job.started = true;
    agent_orders &orders = ordersFor(worker, orderOverheadBytes + job.request.spec->payload.size()
                                                     + task.checkpoint.size());
    allocation allocation = allocationFor(spec, run);
    allocation.orderNumber = orders.number;
    allocation.trial = task.needsTrial();
    m_trialPlaces[worker.service] -= allocation.trial ? 1 : 0;
    worker.reserve(name, allocation);
    worker.lastStart = now;
    if (spec.fills)
        worker.recentFilling.push_back(
                { .image = allocation.image, .cpu = allocation.fillingCpu, .orderedAt = now });
    markChanged(job);

    auto order = std::make_unique<start_order>();
    order->task = name;
    order->run = run;
    order->payload = job.request.spec->payload;
    order->checkpoint = task.checkpoint;
    setReservation(*order, spec);
    order->targetMs = spec.targetMs;
    order->fills = spec.fills;
    if (spec.fills)
        order->disturbance = static_cast<float>(disturbance(m_disturbances, worker, spec));
    const auto ticket = m_advice.ticketFor(
            task_name{ job.request.id, occurrence.number, step, 0 }.stepText(), worker.key.id, now);
    order->ticket = ticket.value_or(std::string());
    orders.starts.push_back(std::move(order));
    if (spec.targetMs > 0)
        orderFillingDescriptions(worker);
    log(log_level::info, "run_ordered",
        { { "task", name },
          { "run", std::to_string(run) },
          { "worker", worker.key.id },
          { "room_cpu", std::to_string(worker.freeResources().cpu) } },
        budgetOf(spec));
}

void scheduler::placeStep(job &job, const queue_config &queue, occurrence &occurrence,
                          std::uint32_t step, const placement_terms &terms, instant now)
{
    if (job.stepSpec(step).gang) {
        placeGang(job, queue, occurrence, step, terms, now);
        return;
    }
    const placement_request request = requestOf(job.stepSpec(step), queue.service, terms);
    if (fitsNowhere(request, job))
        return;
    auto &tasks = occurrence.steps[step].tasks;
    std::vector<worker *> eligible = eligibleWorkers(job, queue, occurrence, step, terms, now);
    // Tickets and limits on tasks per VM hold for this step only.
    if (eligible.empty() && !queue.needsTickets && job.stepSpec(step).maxPerVm == 0)
        m_unplaceable.push_back(request);
    const resources needed = reservation(job.stepSpec(step));
    for (std::uint32_t index = 0; index < tasks.size() && !eligible.empty(); ++index) {
        task &task = tasks[index];
        if (task.phase != task_phase::waiting || task.retryAt > now)
            continue;
        worker *choice = chooseWorker(eligible, queue, job.stepSpec(step), task, now);
        if (!choice)
            continue; // the next task may need no trial, or have more attempts left
        start(job, occurrence, step, index, *choice, task.run + 1, now);
        if (terms.starved || terms.mayUseReserved)
            return;
        if (job.stepSpec(step).maxPerVm > 0)
            eligible = eligibleWorkers(job, queue, occurrence, step, terms, now);
        else if (choice->trials > 0 || !choice->hasRoomFor(needed)
                 || !m_placement.admits(*choice, job.stepSpec(step), terms))
            eligible.erase(std::remove(eligible.begin(), eligible.end(), choice), eligible.end());
    }
}

/// Chooses one of the eligible workers for a task; none if the task has to wait for another one.
worker *scheduler::chooseWorker(const std::vector<worker *> &eligible, const queue_config &queue,
                                const step_spec &step, const task &task, instant now) const
{
    const auto choose = [&](const std::vector<worker *> &candidates) {
        return task.suspected() ? chooseForSuspect(candidates, step, task, now)
                                : m_placement.choose(candidates, step, task);
    };
    const auto isTooRisky = [&](const worker *each) {
        return each->excludedUntil > now
               && !mayTryWithFailures(*each, task.failures, queue.maxAttempts, now);
    };
    if (std::none_of(eligible.begin(), eligible.end(), isTooRisky))
        return choose(eligible);
    std::vector<worker *> candidates = eligible;
    std::erase_if(candidates, isTooRisky);
    return choose(candidates);
}

/// Starts all members of a gang or none: members that wait for others would hold resources and end
/// without having done any work. Returns whether they were started.
bool scheduler::placeGang(job &job, const queue_config &queue, occurrence &occurrence,
                          std::uint32_t step, const placement_terms &terms, instant now)
{
    const step_run &members = occurrence.steps[step];
    const auto mayStart = [now](const task &task) {
        return task.phase == task_phase::waiting && task.retryAt <= now;
    };
    if (!std::all_of(members.tasks.begin(), members.tasks.end(), mayStart))
        return false; // members of the last run have not all ended
    std::vector<worker *> chosen = chooseForGang(job, queue, occurrence, step, terms, now);
    if (chosen.empty() && terms.mayUseExcluded) {
        placement_terms combined = terms;
        combined.combineWorkers = true;
        chosen = chooseForGang(job, queue, occurrence, step, combined, now);
    }
    std::uint32_t run = 0;
    for (const task &task : members.tasks)
        run = std::max(run, task.run + 1);
    for (std::uint32_t index = 0; index < chosen.size(); ++index)
        start(job, occurrence, step, index, *chosen[index], run, now);
    return !chosen.empty();
}

/// Chooses a worker for each member of the gang, in one rack if the step asks for that and a rack
/// can hold it; empty if they do not all fit.
std::vector<worker *> scheduler::chooseForGang(const job &job, const queue_config &queue,
                                               const occurrence &occurrence, std::uint32_t step,
                                               const placement_terms &terms, instant now)
{
    const step_spec &spec = job.stepSpec(step);
    const step_run &members = occurrence.steps[step];
    std::vector<worker *> eligible = eligibleWorkers(job, queue, occurrence, step, terms, now);
    const auto suspect = std::max_element(members.tasks.begin(), members.tasks.end(),
                                          [](const task &a, const task &b) {
                                              return std::pair(a.needsTrial(), a.suspected())
                                                     < std::pair(b.needsTrial(), b.suspected());
                                          });
    if (suspect != members.tasks.end() && suspect->suspected())
        eligible = workersForSuspect(std::move(eligible), *suspect, now);
    std::uint32_t failures = 0;
    for (const task &member : members.tasks)
        failures = std::max(failures, member.failures);
    std::erase_if(eligible, [&](const worker *each) {
        return each->excludedUntil > now
               && !mayTryWithFailures(*each, failures, queue.maxAttempts, now);
    });
    const bool waitsForRack = spec.sameRack && !terms.overdue
                              && now - job.lastActive < starvationThreshold
                              && fitsOneRack(queue.service, spec);
    if (spec.sameRack) {
        for (const auto &[rack, workers] : byRack(eligible)) {
            auto chosen = planGang(job, occurrence, step, workers, terms);
            if (!chosen.empty())
                return chosen;
        }
    }
    return waitsForRack ? std::vector<worker *>()
                        : planGang(job, occurrence, step, std::move(eligible), terms);
}

/// Whether a rack whose workers run nothing else could hold the whole gang.
bool scheduler::fitsOneRack(const std::string &service, const step_spec &spec) const
{
    std::map<std::string, std::int64_t> taskSlots;
    for (const auto &[key, worker] : m_workers) {
        if (worker->service != service || worker->evacuated)
            continue;
        std::int64_t here = taskSlotsOn(worker->capacity, reservation(spec));
        if (spec.maxPerVm > 0)
            here = std::min<std::int64_t>(here, spec.maxPerVm);
        taskSlots[worker->rack] += here;
    }
    return std::any_of(taskSlots.begin(), taskSlots.end(),
                       [&spec](const auto &rack) { return rack.second >= spec.count; });
}

/// Chooses an excluded or kept worker only if there is no other.
worker *scheduler::chooseSoundFirst(const std::vector<worker *> &eligible, const step_spec &step,
                                    const task &task) const
{
    std::vector<worker *> sound = eligible;
    std::erase_if(sound, [this](const worker *each) {
        return each->excludedUntil > m_lastPass || !each->keptForJob.empty();
    });
    return m_placement.choose(sound.empty() ? eligible : sound, step, task);
}

/// Chooses a worker for each member of the gang; empty if they do not all fit.
std::vector<worker *> scheduler::planGang(const job &job, const occurrence &occurrence,
                                          std::uint32_t step, std::vector<worker *> eligible,
                                          const placement_terms &terms) const
{
    const step_spec &spec = job.stepSpec(step);
    const auto &tasks = occurrence.steps[step].tasks;
    const allocation allocation = allocationFor(spec, 0);
    const auto nameOf = [&](std::size_t index) { return "planned." + std::to_string(index); };
    std::map<const worker *, std::uint32_t> members;
    std::vector<worker *> chosen;
    for (std::size_t index = 0; index < tasks.size() && !eligible.empty(); ++index) {
        worker *choice = chooseSoundFirst(eligible, spec, tasks[index]);
        if (!choice)
            break;
        choice->reserve(nameOf(index), allocation);
        chosen.push_back(choice);
        const bool full = spec.maxPerVm > 0 && ++members[choice] >= spec.maxPerVm;
        if (full || !choice->hasRoomFor(allocation.reserved, terms.mayUseHeldFromBatch())
            || !m_placement.admits(*choice, spec, terms))
            eligible.erase(std::remove(eligible.begin(), eligible.end(), choice), eligible.end());
    }
    for (std::size_t index = 0; index < chosen.size(); ++index)
        chosen[index]->release(nameOf(index), allocation.run);
    if (chosen.size() < tasks.size())
        chosen.clear();
    return chosen;
}

void scheduler::schedulePass(instant now)
{
    m_passNeeded = false;
    m_lastPass = now;
    m_unplaceable.clear();
    decideOnSuspects(now);
    logExclusions(now);
    countTrialPlaces();
    placeOverdueLongRunning(now);
    placeLateJob(now);
    struct ranked
    {
        double rank;
        job *target;
        const queue_config *queue;
    };
    std::vector<ranked> waiting;
    for (job *job : m_open) {
        if (!job->isActive() && !job->hasStartableTask())
            job->lastActive = now; // waits for its time
        const queue_config *queue = queueOf(*job);
        if (queue && job->hasStartableTask())
            waiting.push_back(
                    { m_order.rank(*job, { queue, m_meanWork[queue->name] }, now), job, queue });
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const ranked &a, const ranked &b) { return a.rank < b.rank; });
    if (waiting.size() > maxJobsPerPass)
        waiting.resize(maxJobsPerPass);
    const bool draining = now - m_lastSubmission >= drainDetectionDelay;
    const auto placeStarvedJobs = [&] {
        for (const ranked &entry : waiting) {
            if (now - entry.target->lastActive >= starvationThreshold && !entry.target->isActive())
                placeSteps(*entry.target, *entry.queue,
                           { .starved = true, .mayShareLeftOver = draining }, now);
        }
    };
    const bool queueIsShort = static_cast<double>(waiting.size())
                              <= shortQueueJobsPerWorker * static_cast<double>(m_workers.size());
    // While jobs are being submitted, starved jobs would take capacity from jobs that can still
    // meet their objective. Once the queue drains, the most valuable jobs would take all capacity
    // from the starved ones, so these come first.
    if (draining)
        placeStarvedJobs();
    for (const ranked &entry : waiting)
        placeSteps(*entry.target, *entry.queue, {}, now);
    if (queueIsShort && !draining)
        placeStarvedJobs();
    placeStalledJobs(draining, draining || queueIsShort, now);
    for (const ranked &entry : waiting) {
        if (isStarved(*entry.target, now))
            logStarvedJob(*entry.target, *entry.queue, now);
    }
}

/// Whether nothing of the job has run for so long that it counts as starved, if one of its tasks
/// could start.
bool scheduler::isStarved(const job &job, instant now)
{
    return now - job.lastActive >= starvationThreshold && !job.isActive();
}

void scheduler::placeSteps(job &job, const queue_config &queue, const placement_terms &terms,
                           instant now)
{
    for (occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting == 0)
                continue;
            const bool startable = job.dependenciesDone(occurrence, step);
            if (queue.needsTickets && (startable || dependenciesStarted(job, occurrence, step)))
                requestTickets(job, queue, occurrence, step, now - job.lastActive >= stalledAfter,
                               now);
            if (startable)
                placeStep(job, queue, occurrence, step, terms, now);
        }
    }
}

/// Has an agent ask which workers may run the step; those of a stalled job may use excluded ones.
/// The answer is not stored: a later owner asks again.
void scheduler::requestTickets(const job &job, const queue_config &queue,
                               const occurrence &occurrence, std::uint32_t step, bool stalled,
                               instant now)
{
    const std::string agent = m_advice.chooseAgent(m_connected);
    if (agent.empty())
        return;
    const step_spec &spec = job.stepSpec(step);
    std::vector<std::string> eligible;
    std::vector<std::string> others; // take no task of the step at present
    for (const auto &[key, candidate] : m_workers) {
        const bool excluded = candidate->excludedUntil > now;
        if (!mayRun(*candidate, queue, spec) || (excluded && !stalled))
            continue;
        const bool keptForOthers =
                !candidate->keptForJob.empty() && candidate->keptForJob != job.request.id;
        const bool mayTakeTask = candidate->trials == 0 && !keptForOthers
                                 && (!excluded || mayTry(*candidate, now))
                                 && !isAtTaskLimit(*candidate, spec, occurrence.steps[step])
                                 && candidate->hasRoomFor(reservation(spec))
                                 && m_placement.admits(*candidate, spec, {});
        (mayTakeTask ? eligible : others).push_back(key.id);
    }
    const std::string name = task_name{ job.request.id, occurrence.number, step, 0 }.stepText();
    const auto workers = m_advice.workersToQuery(name, eligible, others, stalled, now);
    if (workers.empty())
        return;
    m_advice.requestSent(name, agent, now);
    auto request = std::make_unique<advice_request>();
    request->step = name;
    request->workers = workers;
    agent_orders orders;
    orders.questions.push_back(std::move(request));
    m_messages.push_back({ agent, makeMessage(std::move(orders)) });
}

} // namespace plantainpitch::sched
