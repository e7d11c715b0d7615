#include "plantainpitch/sched/scheduler.h"

#include "plantainpitch/sched/worker_health.h"

#include <algorithm>
#include <limits>

namespace plantainpitch::sched {

namespace {

/// Pause before a task whose start was refused is started again.
constexpr std::chrono::milliseconds refusalPause{ 100 };
/// A worker that refuses starts for want of room is left alone for a while.
constexpr std::chrono::milliseconds refusingWorkerPause{ 500 };
/// A job of which nothing has run for that long, though its turn has come, is starved: work that
/// stands still for three seconds beside free room counts as lost.
constexpr std::chrono::milliseconds starvedAfter{ 1'500 };
/// Without a new job for that long, the queue only drains.
constexpr std::chrono::milliseconds noSubmissionsFor{ 2'000 };
/// Jobs for each worker up to which the queue counts as short. In a longer one, room for starved
/// jobs would only be taken from those that can still be in time.
constexpr double shortQueue = 0.5;
/// Jobs that are considered in one pass; bounds the time that a pass takes.
constexpr std::size_t maxJobsPerPass = 400;

/// Tasks of that size that fit into the rooms of the workers.
std::int64_t places(const std::vector<worker *> &workers, const resources &needed)
{
    std::int64_t count = 0;
    for (const worker *each : workers) {
        const resources room = each->room();
        std::int64_t here = std::numeric_limits<std::int32_t>::max();
        if (needed.cpu > 0)
            here = std::min(here, room.cpu / needed.cpu);
        if (needed.memoryMb > 0)
            here = std::min(here, room.memoryMb / needed.memoryMb);
        if (needed.accelerators > 0)
            here = std::min(here, room.accelerators / needed.accelerators);
        count += here;
    }
    return count;
}

/// More processors are left over than filling tasks use.
bool mostlyIdle(const std::map<worker_key, std::unique_ptr<worker>> &workers)
{
    std::int64_t idle = 0;
    std::int64_t filling = 0;
    for (const auto &[key, where] : workers) {
        idle += std::max<std::int64_t>(0, where->leftOverCpu());
        filling += where->fillingCpu;
    }
    return idle > filling;
}

bool isActive(const job &target)
{
    return std::any_of(target.occurrences.begin(), target.occurrences.end(), [](const auto &each) {
        return std::any_of(each.steps.begin(), each.steps.end(),
                           [](const step_run &step) { return step.active > 0; });
    });
}

/// Reduces \a workers to those that can hold a whole gang, of one rack if the step asks for it.
/// Returns false if the gang does not fit.
bool keepWorkersForGang(std::vector<worker *> &workers, const step_spec &step)
{
    const resources needed = reservation(step);
    if (!step.sameRack)
        return places(workers, needed) >= step.count;
    std::map<std::string, std::vector<worker *>> byRack;
    for (worker *each : workers)
        byRack[each->rack].push_back(each);
    for (auto &[rack, members] : byRack) {
        if (places(members, needed) >= step.count) {
            workers = std::move(members);
            return true;
        }
    }
    return false;
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
        m_roomChanged = true;
}

agent_orders &scheduler::ordersFor(worker &where)
{
    agent_orders &orders = m_staged.orders[where.agent];
    orders.workerStartMs = where.key.startMs;
    if (orders.number == 0)
        orders.number = ++m_lastOrders;
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
    changed(*place.owner);
    m_roomChanged = true;
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
    // The members of a gang end together; the end of one stands for all.
    if (place.owner->stepSpec(number).gang)
        std::for_each(place.step->tasks.begin(), place.step->tasks.end(), finish);
    else
        finish(*place.item);
    changed(*place.owner);
    if (place.step->done == place.step->tasks.size())
        stepDone(*place.owner, *place.within);
}

void scheduler::taskFailed(const task_place &place, worker &where, instant now)
{
    ++place.item->failures;
    noteFailure(where, place.owner->request.id, now);
    requeue(place);
    if (place.owner->ended())
        return;
    const auto parsedStep = static_cast<std::uint32_t>(place.step - place.within->steps.data());
    const queue_config *queue = queueOf(*place.owner);
    const std::uint32_t attempts = queue ? queue->maxAttempts : 1;
    if (!place.owner->stepSpec(parsedStep).longRunning && place.item->failures >= attempts)
        endJob(*place.owner, job_outcome::failed);
}

void scheduler::logEnd(const worker &where, const run_end &end, const task_place &place,
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

void scheduler::onEnd(worker &where, const run_end &end, instant now)
{
    release(where, end.task, end.run);
    const task_place place = find(end.task);
    const auto outcome = static_cast<run_outcome>(end.outcome);
    const bool current = place.item && place.item->phase == task_phase::active
                         && place.item->run == end.run && place.item->place == where.key;
    logEnd(where, end, place, current, now);
    if (!current)
        return;
    if (!end.checkpoint.empty())
        place.item->checkpoint = end.checkpoint;
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

void scheduler::onRefusal(worker &where, const run_refusal &refusal, instant now)
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
    if (refusal.reason == "room")
        where.avoidUntil = std::max(where.avoidUntil, now + refusingWorkerPause);
    if (refusal.reason == "unhealthy")
        noteFailure(where, refusal.task, now);
}

void scheduler::loseRuns(worker &where, const char *reason)
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
    m_roomChanged = true;
}

std::vector<worker *> scheduler::candidates(const job &target, const queue_config &queue,
                                            const occurrence &within, std::uint32_t step,
                                            bool starved, instant now)
{
    const step_spec &spec = target.stepSpec(step);
    const resources needed = reservation(spec);
    std::vector<worker *> result;
    for (auto &[key, entry] : m_workers) {
        worker *const where = entry.get(); // lambdas cannot capture the names of a binding
        if (!where->connected || !where->ready || !where->responsive
            || where->service != queue.service || where->avoidUntil > now
            || !needed.fits(where->room()) || !m_placement.admits(*where, spec, starved))
            continue;
        const auto &labels = where->labels;
        if (!spec.requiredLabel.empty()
            && std::find(labels.begin(), labels.end(), spec.requiredLabel) == labels.end())
            continue;
        if (spec.maxPerVm > 0) {
            const auto &tasks = within.steps[step].tasks;
            const auto here = std::count_if(tasks.begin(), tasks.end(), [&](const task &each) {
                return each.phase == task_phase::active && each.place == where->key;
            });
            if (here >= spec.maxPerVm)
                continue;
        }
        result.push_back(where);
    }
    return result;
}

void scheduler::start(job &target, occurrence &within, std::uint32_t step, std::uint32_t index,
                      worker &where, std::uint32_t run, instant now)
{
    const step_spec &spec = target.stepSpec(step);
    step_run &runs = within.steps[step];
    task &item = runs.tasks[index];
    const std::string name = task_name{ target.request.id, within.number, step, index }.text();
    --runs.waiting;
    ++runs.active;
    item.phase = task_phase::active;
    item.run = run;
    item.place = where.key;
    item.seen = false;
    item.orderedAt = now;
    target.started = true;
    agent_orders &orders = ordersFor(where);
    allocation held = allocationFor(spec, run);
    held.orderNumber = orders.number;
    where.hold(name, held);
    if (spec.fills)
        where.recentFilling.push_back(
                { .image = held.image, .cpu = held.fillingCpu, .orderedAt = now });
    changed(target);

    auto order = std::make_unique<start_order>();
    order->task = name;
    order->run = run;
    order->payload = target.request.spec->payload;
    order->checkpoint = item.checkpoint;
    order->targetMs = spec.targetMs;
    order->fills = spec.fills;
    if (spec.fills)
        order->disturbance = static_cast<float>(disturbance(m_disturbances, where, spec));
    orders.starts.push_back(std::move(order));
    if (spec.targetMs > 0)
        describeFilling(where);
    log(log_level::info, "run_ordered",
        { { "task", name },
          { "run", std::to_string(run) },
          { "worker", where.key.id },
          { "room_cpu", std::to_string(where.room().cpu) } });
}

void scheduler::placeStep(job &target, const queue_config &queue, occurrence &within,
                          std::uint32_t step, bool starved, instant now)
{
    auto &tasks = within.steps[step].tasks;
    const bool gang = target.stepSpec(step).gang;
    if (gang && within.steps[step].waiting != tasks.size())
        return; // members of the last run have not all ended
    std::vector<worker *> usable = candidates(target, queue, within, step, starved, now);
    if (gang && !keepWorkersForGang(usable, target.stepSpec(step)))
        return;
    std::uint32_t gangRun = 0;
    for (const task &item : tasks)
        gangRun = std::max(gangRun, item.run + 1);
    const resources needed = reservation(target.stepSpec(step));
    for (std::uint32_t index = 0; index < tasks.size() && !usable.empty(); ++index) {
        task &item = tasks[index];
        if (item.phase != task_phase::waiting || item.retryAt > now)
            continue;
        worker *where = m_placement.choose(usable, target.stepSpec(step), item);
        if (!where)
            return;
        start(target, within, step, index, *where, gang ? gangRun : item.run + 1, now);
        if (starved && !gang)
            return;
        if (target.stepSpec(step).maxPerVm > 0)
            usable = candidates(target, queue, within, step, starved, now);
        else if (!needed.fits(where->room())
                 || !m_placement.admits(*where, target.stepSpec(step), starved))
            usable.erase(std::remove(usable.begin(), usable.end(), where), usable.end());
    }
}

void scheduler::schedulePass(instant now)
{
    m_roomChanged = false;
    m_lastPass = now;
    struct ranked
    {
        double rank;
        job *target;
        const queue_config *queue;
    };
    std::vector<ranked> waiting;
    for (job *target : m_open) {
        const queue_config *queue = queueOf(*target);
        const bool hasWaiting = std::any_of(
                target->occurrences.begin(), target->occurrences.end(), [&](const occurrence &o) {
                    for (std::uint32_t step = 0; step < o.steps.size(); ++step) {
                        if (o.steps[step].waiting > 0 && target->unlocked(o, step))
                            return true;
                    }
                    return false;
                });
        if (queue && hasWaiting)
            waiting.push_back({ m_order.rank(*target, { queue, m_meanWork[queue->name] }, now),
                                target, queue });
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const ranked &a, const ranked &b) { return a.rank < b.rank; });
    if (waiting.size() > maxJobsPerPass)
        waiting.resize(maxJobsPerPass);
    for (const ranked &entry : waiting)
        placeSteps(*entry.target, *entry.queue, false, now);
    // While jobs come, those in a long queue would take room from jobs that can still be in time.
    const bool queueIsShort = static_cast<double>(waiting.size())
                              <= shortQueue * static_cast<double>(m_workers.size());
    const bool drains = now - m_lastSubmission >= noSubmissionsFor;
    const bool helpStarved = queueIsShort || (drains && mostlyIdle(m_workers));
    for (const ranked &entry : waiting) {
        job &target = *entry.target;
        if (isActive(target))
            target.lastActive = now;
        if (helpStarved && now - target.lastActive >= starvedAfter)
            placeSteps(target, *entry.queue, true, now);
    }
}

void scheduler::placeSteps(job &target, const queue_config &queue, bool starved, instant now)
{
    for (occurrence &within : target.occurrences) {
        for (std::uint32_t step = 0; step < within.steps.size(); ++step) {
            if (within.steps[step].waiting > 0 && target.unlocked(within, step))
                placeStep(target, queue, within, step, starved, now);
        }
    }
}

} // namespace plantainpitch::sched
