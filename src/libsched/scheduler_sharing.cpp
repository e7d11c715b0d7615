#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <limits>

namespace plantainpitch::sched {

namespace {

/// How long a worker whose runs make little progress gets no new tasks; renewed by each report.
constexpr std::chrono::milliseconds slowWorkerPause{ 2'500 };
/// A run is moved if staying takes at least this many times as long as moving.
constexpr double worthMoving = 1.5;
/// Lower bound of the pace in estimates of the remaining time.
constexpr double leastPace = 0.1;
/// A run whose pace is at most this in two consecutive reports is considered for a move.
constexpr double pacedDown = 0.4;
/// Duration of a move: the stop, its report and the start on another worker.
constexpr double moveMs = 1'200;

/// The interference of a run shows in reports only this long after its start order: a report may be
/// half a second old, and its figures cover the half second before.
constexpr std::chrono::milliseconds fillingShows{ 1'000 };

} // namespace

void scheduler::describe(worker &where, const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        const task_place place = find(name);
        if (!place.item)
            continue;
        const step_spec &spec = place.owner->stepSpec(task_name::parse(name)->step);
        if (spec.targetMs == 0 && !spec.fills)
            continue;
        auto description = std::make_unique<start_order>();
        description->task = name;
        description->run = place.item->run;
        description->targetMs = spec.targetMs;
        description->fills = spec.fills;
        description->disturbance = static_cast<float>(disturbance(m_disturbances, where, spec));
        ordersFor(where).describes.push_back(std::move(description));
    }
}

/// Sends the agent new disturbance estimates for its filling runs after another image has begun to
/// serve.
void scheduler::describeFilling(worker &where)
{
    std::vector<std::string> filling;
    for (const auto &[name, held] : where.runs) {
        if (held.fillingCpu > 0)
            filling.push_back(name);
    }
    describe(where, filling);
}

void scheduler::learnDisturbances(worker &where, const agent_report &report, instant now)
{
    headroom_sample sample;
    sample.at = now;
    struct job_figures
    {
        std::string image;
        double sum = 0;
        double least = std::numeric_limits<double>::infinity();
        std::uint32_t tasks = 0;
    };
    std::map<std::string, job_figures> byJob;
    for (const auto &each : report.running) {
        const auto held = where.runs.find(each->task);
        const task_place place = find(each->task);
        if (held == where.runs.end() || held->second.run != each->run || !place.item)
            continue;
        if (held->second.fillingCpu > 0) {
            sample.filling[held->second.image] +=
                    static_cast<double>(each->usage)
                    / static_cast<double>(std::max<std::int64_t>(where.capacity.cpu, 1));
        }
        if (!held->second.serves || each->usage == 0)
            continue;
        const std::uint32_t targetMs =
                place.owner->stepSpec(task_name::parse(each->task)->step).targetMs;
        const double headroom = static_cast<double>(targetMs) / each->usage;
        job_figures &figures = byJob[place.owner->request.id];
        figures.image = held->second.image;
        figures.sum += headroom;
        figures.least = std::min(figures.least, headroom);
        ++figures.tasks;
    }
    where.headrooms.clear();
    std::erase_if(where.recentFilling, [now](const recent_filling &each) {
        return now - each.orderedAt >= fillingShows;
    });
    for (const auto &[job, figures] : byJob) {
        where.headrooms.push_back(
                { .job = job, .image = figures.image, .headroom = figures.least });
        sample.job = job;
        sample.image = figures.image;
        sample.headroom = figures.sum / figures.tasks;
        m_disturbances.observe(sample);
    }
}

void scheduler::moveRun(worker &where, const run_progress &run, double leftMs, const char *reason)
{
    log(log_level::info, "run_moved",
        { { "task", run.task },
          { "worker", where.key.id },
          { "left_ms", std::to_string(static_cast<int>(leftMs)) },
          { "reason", reason } });
    orderStop(where, run.task, where.runs.at(run.task).run);
}

/// Whether a task of the step could be placed on another worker now.
bool scheduler::hasRoomElsewhere(const worker &where, const task_place &place, std::uint32_t step,
                                 instant now)
{
    const queue_config *queue = queueOf(*place.owner);
    if (!queue)
        return false;
    const auto usable = candidates(*place.owner, *queue, *place.within, step, false, now);
    return std::any_of(usable.begin(), usable.end(),
                       [&where](const worker *other) { return other != &where; });
}

/// Moves a throttled filling run to another VM if it would finish much sooner there, as a step
/// waits for its slowest task. At most one run is moved per report, because the others then get its
/// share.
void scheduler::movePacedRun(worker &where, const std::vector<run_progress> &working, instant now)
{
    for (const run_progress &each : working) {
        const auto held = where.runs.find(each.task);
        if (each.pace > pacedDown || where.progress.lastPace(each.task) > pacedDown
            || held == where.runs.end() || held->second.stopOrdered)
            continue;
        const task_place place = find(each.task);
        const std::uint32_t step = task_name::parse(each.task)->step;
        const step_spec &spec = place.owner->stepSpec(step);
        const double leftMs = std::max(0.0, spec.estimateMs - each.doneMs);
        const double hereMs = leftMs / std::max(each.pace, leastPace);
        if (spec.checkpointing && hereMs >= worthMoving * (moveMs + leftMs)
            && hasRoomElsewhere(where, place, step, now)) {
            moveRun(where, each, leftMs, "paced_down");
            return;
        }
    }
}

/// Excludes a worker whose batch runs make little progress from placement, and moves those runs
/// that would finish much sooner elsewhere.
void scheduler::watchProgress(worker &where, const agent_report &report, instant now)
{
    std::vector<run_progress> working;
    for (const auto &each : report.running) {
        const task_place place = find(each->task);
        if (!place.item || place.item->run != each->run || place.item->place != where.key)
            continue;
        const step_spec &spec = place.owner->stepSpec(task_name::parse(each->task)->step);
        if (!spec.longRunning && !spec.gang)
            working.push_back({ .task = each->task,
                                .job = place.owner->request.id,
                                .doneMs = each->percent / 100.0 * spec.estimateMs,
                                .pace = each->pace / 100.0 });
    }
    movePacedRun(where, working, now);
    where.progress.observe(working, now);
    if (!where.progress.isSlow())
        return;
    if (where.avoidUntil <= now) {
        log(log_level::warning, "worker_slow",
            { { "worker", where.key.id },
              { "speed", std::to_string(where.progress.speed()) },
              { "runs", std::to_string(working.size()) } });
    }
    where.avoidUntil = std::max(where.avoidUntil, now + slowWorkerPause);
    const double speed = std::max(where.progress.speed(), 0.05);
    for (const run_progress &each : working) {
        const task_place place = find(each.task);
        const step_spec &spec = place.owner->stepSpec(task_name::parse(each.task)->step);
        const double leftMs = std::max(0.0, spec.estimateMs - each.doneMs);
        const double elsewhereMs = moveMs + (spec.checkpointing ? leftMs : spec.estimateMs);
        const auto held = where.runs.find(each.task);
        if (held == where.runs.end() || held->second.stopOrdered
            || leftMs / speed < worthMoving * elsewhereMs)
            continue;
        moveRun(where, each, leftMs, "worker_slow");
    }
}

} // namespace plantainpitch::sched
