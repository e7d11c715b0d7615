#include "plantainpitch/sched/message_limits.h"
#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <limits>

namespace plantainpitch::sched {

namespace {

/// How long a worker whose runs make little progress gets no new tasks; renewed by each report.
constexpr std::chrono::milliseconds slowWorkerPause{ 2'500 };
/// A run is moved if staying takes at least this many times as long as moving.
constexpr double minMoveSpeedup = 1.5;
/// Lower bound of a run's pace when its remaining time on its worker is estimated.
constexpr double minPace = 0.1;
/// A run whose pace is at most this in two consecutive reports is considered for a move.
constexpr double throttledPace = 0.4;
/// Duration of a move: the stop, its report and the start on another worker.
constexpr double moveDurationMs = 1'200;

/// The interference of a run shows in reports only this long after its start order: a report may be
/// half a second old, and its figures cover the half second before.
constexpr std::chrono::milliseconds fillingReportDelay{ 1'000 };

/// Whether the run was held back at this report and the one before.
bool isThrottled(const run_progress &run, const std::optional<double> &lastPace)
{
    return run.pace && lastPace && *run.pace <= throttledPace && *lastPace <= throttledPace;
}

} // namespace

/// Tells the agent what it needs to know of a run that an earlier agent process may have started.
void scheduler::orderDescription(worker &worker, const std::string &name, std::uint32_t run)
{
    const task_location location = findTask(name);
    if (!location.taskState)
        return;
    const step_spec &spec = location.parentJob->stepSpec(task_name::parse(name)->step);
    auto description = std::make_unique<start_order>();
    description->task = name;
    description->run = run;
    setReservation(*description, spec);
    description->targetMs = spec.targetMs;
    description->fills = spec.fills;
    description->disturbance = static_cast<float>(disturbance(m_disturbances, worker, spec));
    ordersFor(worker, orderOverheadBytes).describes.push_back(std::move(description));
}

/// Sends the agent new disturbance estimates for its filling runs after another image has begun to
/// serve.
void scheduler::orderFillingDescriptions(worker &worker)
{
    for (const auto &[name, allocation] : worker.runs) {
        if (allocation.fillingCpu > 0)
            orderDescription(worker, name, allocation.run);
    }
}

void scheduler::observeDisturbances(worker &worker, const agent_report &report, instant now)
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
        const auto allocation = worker.runs.find(each->task);
        const task_location location = findTask(each->task);
        if (allocation == worker.runs.end() || allocation->second.run != each->run
            || !location.taskState)
            continue;
        if (allocation->second.fillingCpu > 0) {
            sample.filling[allocation->second.image] +=
                    static_cast<double>(each->usage)
                    / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpu, 1));
        }
        if (!allocation->second.serves || each->usage == 0)
            continue;
        const std::uint32_t targetMs =
                location.parentJob->stepSpec(task_name::parse(each->task)->step).targetMs;
        const double headroom = static_cast<double>(targetMs) / each->usage;
        job_figures &figures = byJob[location.parentJob->request.id];
        figures.image = allocation->second.image;
        figures.sum += headroom;
        figures.least = std::min(figures.least, headroom);
        ++figures.tasks;
    }
    worker.headrooms.clear();
    std::erase_if(worker.recentFilling, [now](const recent_filling &each) {
        return now - each.orderedAt >= fillingReportDelay;
    });
    for (const auto &[job, figures] : byJob) {
        worker.headrooms.push_back(
                { .job = job, .image = figures.image, .headroom = figures.least });
        sample.job = job;
        sample.image = figures.image;
        sample.headroom = figures.sum / figures.tasks;
        m_disturbances.observe(sample);
    }
}

void scheduler::moveRun(worker &worker, const run_progress &run, double remainingMs,
                        const char *reason)
{
    log(log_level::info, "run_moved",
        { { "task", run.task },
          { "worker", worker.key.id },
          { "left_ms", std::to_string(static_cast<int>(remainingMs)) },
          { "reason", reason } });
    orderStop(worker, run.task, worker.runs.at(run.task).run);
}

/// Whether a task of the step could be placed on another worker now.
bool scheduler::hasCapacityElsewhere(const worker &current, const task_location &location,
                                     std::uint32_t step, instant now)
{
    const queue_config *queue = queueOf(*location.parentJob);
    if (!queue)
        return false;
    const auto eligible =
            eligibleWorkers(*location.parentJob, *queue, *location.parentOccurrence, step, {}, now);
    return std::any_of(eligible.begin(), eligible.end(),
                       [&current](const worker *other) { return other != &current; });
}

/// Moves a throttled filling run to another VM if it would finish much sooner there, as a step
/// waits for its slowest task. At most one run is moved per report, because the others then get its
/// share.
void scheduler::moveThrottledRun(worker &worker, const std::vector<run_progress> &batchRuns,
                                 instant now)
{
    for (const run_progress &each : batchRuns) {
        const auto allocation = worker.runs.find(each.task);
        if (!isThrottled(each, worker.progress.lastPace(each.task))
            || allocation == worker.runs.end() || allocation->second.stopOrdered)
            continue;
        const task_location location = findTask(each.task);
        const std::uint32_t step = task_name::parse(each.task)->step;
        const step_spec &spec = location.parentJob->stepSpec(step);
        const double remainingMs = std::max(0.0, spec.estimateMs - each.doneMs);
        const double stayMs = remainingMs / std::max(*each.pace, minPace);
        if (spec.checkpointing && stayMs >= minMoveSpeedup * (moveDurationMs + remainingMs)
            && hasCapacityElsewhere(worker, location, step, now)) {
            moveRun(worker, each, remainingMs, "paced_down");
            return;
        }
    }
}

/// Excludes a worker whose batch runs make little progress from placement, and moves those runs
/// that would finish much sooner elsewhere.
void scheduler::watchProgress(worker &worker, const agent_report &report, instant now)
{
    std::vector<run_progress> batchRuns;
    for (const auto &each : report.running) {
        const task_location location = findTask(each->task);
        if (!location.taskState || location.taskState->run != each->run
            || location.taskState->place != worker.key)
            continue;
        const step_spec &spec = location.parentJob->stepSpec(task_name::parse(each->task)->step);
        if (spec.longRunning || spec.gang)
            continue;
        run_progress run{ .task = each->task,
                          .job = location.parentJob->request.id,
                          .doneMs = each->percent / 100.0 * spec.estimateMs,
                          .estimateMs = static_cast<double>(spec.estimateMs) };
        if (spec.fills)
            run.pace = each->paceUnknown ? std::nullopt : std::optional(each->pace / 100.0);
        batchRuns.push_back(std::move(run));
    }
    moveThrottledRun(worker, batchRuns, now);
    const instant listedAt = report.listedUs != 0 ? instant(duration(report.listedUs)) : now;
    worker.progress.observe(batchRuns, listedAt);
    if (!worker.progress.isSlow())
        return;
    if (worker.excludedUntil <= now) {
        log(log_level::warning, "worker_slow",
            { { "worker", worker.key.id },
              { "speed", std::to_string(worker.progress.speed()) },
              { "runs", std::to_string(batchRuns.size()) } });
    }
    const char *reason = worker.progress.stalledRuns().empty() ? "slow_runs" : "stalled_runs";
    if (worker.excludedUntil <= now || worker.exclusionReason == "refused_for_room") {
        worker.exclusionReason = reason;
        worker.exclusionCause.clear();
        for (const std::string &each : worker.progress.stalledRuns())
            worker.exclusionCause += (worker.exclusionCause.empty() ? "" : ",") + each;
    }
    worker.excludedUntil = std::max(worker.excludedUntil, now + slowWorkerPause);
    const double speed = std::max(worker.progress.speed(), 0.05);
    for (const run_progress &each : batchRuns) {
        const task_location location = findTask(each.task);
        const step_spec &spec = location.parentJob->stepSpec(task_name::parse(each.task)->step);
        const double remainingMs = std::max(0.0, spec.estimateMs - each.doneMs);
        const double moveMs = moveDurationMs + (spec.checkpointing ? remainingMs : spec.estimateMs);
        const auto allocation = worker.runs.find(each.task);
        if (allocation == worker.runs.end() || allocation->second.stopOrdered
            || remainingMs / speed < minMoveSpeedup * moveMs)
            continue;
        moveRun(worker, each, remainingMs, "worker_slow");
    }
}

} // namespace plantainpitch::sched
