#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <limits>

namespace plantainpitch::sched {

namespace {

/// A job with startable tasks is starved if none of its tasks has been active for this long. Work
/// that waits for three seconds although there is free capacity counts as lost.
constexpr std::chrono::milliseconds starvedAfter{ 1'500 };
/// The queue counts as draining if no job has been submitted for this long.
constexpr std::chrono::milliseconds noSubmissionsFor{ 2'000 };
/// Waiting jobs per worker up to which the queue counts as short. In a longer queue, starved jobs
/// would only take capacity from jobs that can still meet their objective.
constexpr double shortQueue = 0.5;
/// Jobs considered per pass; bounds the duration of a pass.
constexpr std::size_t maxJobsPerPass = 400;

/// Number of tasks of the given size that fit on an empty worker.
std::int64_t placesIn(const resources &capacity, const resources &needed)
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

bool isActive(const job &target)
{
    return std::any_of(target.occurrences.begin(), target.occurrences.end(), [](const auto &each) {
        return std::any_of(each.steps.begin(), each.steps.end(),
                           [](const step_run &step) { return step.active > 0; });
    });
}

std::map<std::string, std::vector<worker *>> byRack(const std::vector<worker *> &workers)
{
    std::map<std::string, std::vector<worker *>> racks;
    for (worker *each : workers)
        racks[each->rack].push_back(each);
    return racks;
}

/// Whether all tasks of the steps that \a step depends on have been started, so that it is likely
/// to become startable soon.
bool soonUnlocked(const job &target, const occurrence &within, std::uint32_t step)
{
    const auto &earlier = target.stepSpec(step).dependsOn;
    return std::all_of(earlier.begin(), earlier.end(),
                       [&within](std::uint32_t each) { return within.steps[each].waiting == 0; });
}

bool mayRun(const worker &where, const queue_config &queue, const step_spec &step, instant now)
{
    const auto &labels = where.labels;
    return where.connected && where.ready && where.responsive && where.service == queue.service
           && where.avoidUntil <= now
           && (step.requiredLabel.empty()
               || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

} // namespace

std::vector<worker *> scheduler::candidates(const job &target, const queue_config &queue,
                                            const occurrence &within, std::uint32_t step,
                                            bool starved, instant now)
{
    const step_spec &spec = target.stepSpec(step);
    const resources needed = reservation(spec);
    const std::string name = task_name{ target.request.id, within.number, step, 0 }.stepText();
    std::vector<worker *> result;
    for (auto &[key, entry] : m_workers) {
        worker *const where = entry.get(); // lambdas cannot capture the names of a binding
        if (!mayRun(*where, queue, spec, now) || !needed.fits(where->room())
            || !m_placement.admits(*where, spec, starved))
            continue;
        if (queue.needsTickets && !m_advice.ticketFor(name, key.id, now))
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
    markChanged(target);

    auto order = std::make_unique<start_order>();
    order->task = name;
    order->run = run;
    order->payload = target.request.spec->payload;
    order->checkpoint = item.checkpoint;
    order->targetMs = spec.targetMs;
    order->fills = spec.fills;
    if (spec.fills)
        order->disturbance = static_cast<float>(disturbance(m_disturbances, where, spec));
    const auto ticket = m_advice.ticketFor(
            task_name{ target.request.id, within.number, step, 0 }.stepText(), where.key.id, now);
    order->ticket = ticket.value_or(std::string());
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
    if (target.stepSpec(step).gang) {
        placeGang(target, queue, within, step, starved, now);
        return;
    }
    auto &tasks = within.steps[step].tasks;
    std::vector<worker *> usable = candidates(target, queue, within, step, starved, now);
    const resources needed = reservation(target.stepSpec(step));
    for (std::uint32_t index = 0; index < tasks.size() && !usable.empty(); ++index) {
        task &item = tasks[index];
        if (item.phase != task_phase::waiting || item.retryAt > now)
            continue;
        worker *where = m_placement.choose(usable, target.stepSpec(step), item);
        if (!where)
            return;
        start(target, within, step, index, *where, item.run + 1, now);
        if (starved)
            return;
        if (target.stepSpec(step).maxPerVm > 0)
            usable = candidates(target, queue, within, step, starved, now);
        else if (!needed.fits(where->room())
                 || !m_placement.admits(*where, target.stepSpec(step), starved))
            usable.erase(std::remove(usable.begin(), usable.end(), where), usable.end());
    }
}

/// Starts all members of a gang or none: members that wait for others would hold resources and end
/// without having done any work.
void scheduler::placeGang(job &target, const queue_config &queue, occurrence &within,
                          std::uint32_t step, bool starved, instant now)
{
    const step_spec &spec = target.stepSpec(step);
    const step_run &members = within.steps[step];
    const auto mayStart = [now](const task &item) {
        return item.phase == task_phase::waiting && item.retryAt <= now;
    };
    if (!std::all_of(members.tasks.begin(), members.tasks.end(), mayStart))
        return; // members of the last run have not all ended
    const std::vector<worker *> usable = candidates(target, queue, within, step, starved, now);
    std::vector<worker *> chosen;
    const bool oneRack = spec.sameRack && now - target.lastActive < starvedAfter
                         && fitsOneRack(queue.service, spec);
    if (oneRack) {
        for (const auto &[rack, workers] : byRack(usable)) {
            chosen = planGang(target, within, step, workers, starved);
            if (!chosen.empty())
                break;
        }
    } else {
        chosen = planGang(target, within, step, usable, starved);
    }
    std::uint32_t run = 0;
    for (const task &item : members.tasks)
        run = std::max(run, item.run + 1);
    for (std::uint32_t index = 0; index < chosen.size(); ++index)
        start(target, within, step, index, *chosen[index], run, now);
}

/// Whether a rack whose workers run nothing else could hold the whole gang.
bool scheduler::fitsOneRack(const std::string &service, const step_spec &spec) const
{
    std::map<std::string, std::int64_t> places;
    for (const auto &[key, where] : m_workers) {
        if (where->service != service)
            continue;
        std::int64_t here = placesIn(where->capacity, reservation(spec));
        if (spec.maxPerVm > 0)
            here = std::min<std::int64_t>(here, spec.maxPerVm);
        places[where->rack] += here;
    }
    return std::any_of(places.begin(), places.end(),
                       [&spec](const auto &rack) { return rack.second >= spec.count; });
}

/// Chooses a worker for each member of the gang; empty if they do not all fit.
std::vector<worker *> scheduler::planGang(const job &target, const occurrence &within,
                                          std::uint32_t step, std::vector<worker *> usable,
                                          bool starved) const
{
    const step_spec &spec = target.stepSpec(step);
    const auto &tasks = within.steps[step].tasks;
    const allocation held = allocationFor(spec, 0);
    const auto nameOf = [&](std::size_t index) { return "planned." + std::to_string(index); };
    std::map<const worker *, std::uint32_t> members;
    std::vector<worker *> chosen;
    for (std::size_t index = 0; index < tasks.size() && !usable.empty(); ++index) {
        worker *where = m_placement.choose(usable, spec, tasks[index]);
        if (!where)
            break;
        where->hold(nameOf(index), held);
        chosen.push_back(where);
        const bool full = spec.maxPerVm > 0 && ++members[where] >= spec.maxPerVm;
        if (full || !held.amount.fits(where->room()) || !m_placement.admits(*where, spec, starved))
            usable.erase(std::remove(usable.begin(), usable.end(), where), usable.end());
    }
    for (std::size_t index = 0; index < chosen.size(); ++index)
        chosen[index]->release(nameOf(index), held.run);
    if (chosen.size() < tasks.size())
        chosen.clear();
    return chosen;
}

void scheduler::schedulePass(instant now)
{
    m_passNeeded = false;
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
    const auto helpStarved = [&] {
        for (const ranked &entry : waiting) {
            if (now - entry.target->lastActive >= starvedAfter)
                placeSteps(*entry.target, *entry.queue, true, now);
        }
    };
    for (const ranked &entry : waiting) {
        if (isActive(*entry.target))
            entry.target->lastActive = now;
    }
    const bool queueIsShort = static_cast<double>(waiting.size())
                              <= shortQueue * static_cast<double>(m_workers.size());
    // While jobs are being submitted, starved jobs would take capacity from jobs that can still
    // meet their objective. Once the queue drains, the most valuable jobs would take all capacity
    // from the starved ones, so these come first.
    const bool drains = now - m_lastSubmission >= noSubmissionsFor;
    if (drains)
        helpStarved();
    for (const ranked &entry : waiting)
        placeSteps(*entry.target, *entry.queue, false, now);
    if (queueIsShort && !drains)
        helpStarved();
}

void scheduler::placeSteps(job &target, const queue_config &queue, bool starved, instant now)
{
    for (occurrence &within : target.occurrences) {
        for (std::uint32_t step = 0; step < within.steps.size(); ++step) {
            if (within.steps[step].waiting == 0)
                continue;
            const bool unlocked = target.unlocked(within, step);
            if (queue.needsTickets && (unlocked || soonUnlocked(target, within, step)))
                askForTickets(target, queue, within, step, now);
            if (unlocked)
                placeStep(target, queue, within, step, starved, now);
        }
    }
}

/// Has an agent ask which workers may run the step. The answer is not stored: a later owner asks
/// again.
void scheduler::askForTickets(const job &target, const queue_config &queue,
                              const occurrence &within, std::uint32_t step, instant now)
{
    const std::string agent = m_advice.chooseAgent(m_connected);
    if (agent.empty())
        return;
    const step_spec &spec = target.stepSpec(step);
    std::vector<std::string> usable;
    std::vector<std::string> others;
    for (const auto &[key, where] : m_workers) {
        if (!mayRun(*where, queue, spec, now))
            continue;
        const bool hasRoom =
                reservation(spec).fits(where->room()) && m_placement.admits(*where, spec, false);
        (hasRoom ? usable : others).push_back(key.id);
    }
    const std::string name = task_name{ target.request.id, within.number, step, 0 }.stepText();
    const auto workers = m_advice.workersToQuery(name, usable, others, now);
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
