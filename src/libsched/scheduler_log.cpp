#include "plantainpitch/sched/scheduler.h"
#include "plantainpitch/sched/worker_health.h"
#include "share_in_use.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// Two lines about the same waiting task or job lie at least this far apart.
constexpr std::chrono::seconds waitingLogInterval{ 5 };
/// Lines about waiting tasks in one pass; each of them costs a look at all workers.
constexpr std::uint32_t maxWaitingLinesPerPass = 4;
/// Lines about starved jobs: one of all jobs in this time, as hundreds may wait.
constexpr std::chrono::seconds starvedLogInterval{ 1 };

std::string millisecondsText(duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

std::vector<std::pair<std::string, std::string>>
obstacleFields(const std::string &name, duration waited, const placement_obstacles &obstacles,
               const step_spec &step)
{
    const resources needed = reservation(step);
    return { { "task", name },
             { "waited_ms", millisecondsText(waited) },
             { "needs_cpu", std::to_string(needed.cpu) },
             { "needs_memory_mb", std::to_string(needed.memoryMb) },
             { "workers", std::to_string(obstacles.workers) },
             { "not_connected", std::to_string(obstacles.notConnected) },
             { "not_ready", std::to_string(obstacles.notReady) },
             { "evacuated", std::to_string(obstacles.evacuated) },
             { "unresponsive", std::to_string(obstacles.unresponsive) },
             { "unsuitable", std::to_string(obstacles.unsuitable) },
             { "trial", std::to_string(obstacles.trial) },
             { "vm_limit", std::to_string(obstacles.vmLimit) },
             { "no_ticket", std::to_string(obstacles.noTicket) },
             { "short_of_cpu", std::to_string(obstacles.cpu) },
             { "short_of_memory", std::to_string(obstacles.memory) },
             { "short_of_accelerators", std::to_string(obstacles.accelerators) },
             { "held", std::to_string(obstacles.held) },
             { "not_admitted", std::to_string(obstacles.notAdmitted) },
             { "excluded", std::to_string(obstacles.excluded) } };
}

} // namespace

/// Counts the workers by what keeps a task of the step from them.
placement_obstacles scheduler::obstaclesTo(const job &job, const queue_config &queue,
                                           const occurrence &occurrence, std::uint32_t step,
                                           instant now)
{
    const step_spec &spec = job.stepSpec(step);
    const resources needed = reservation(spec);
    const std::string name = task_name{ job.request.id, occurrence.number, step, 0 }.stepText();
    const auto &tasks = occurrence.steps[step].tasks;
    placement_obstacles result;
    for (const auto &[key, entry] : m_workers) {
        const worker *const candidate = entry.get(); // lambdas cannot capture names of a binding
        const resources available = candidate->freeResources();
        const auto here = std::count_if(tasks.begin(), tasks.end(), [candidate](const task &each) {
            return each.phase == task_phase::active && each.place == candidate->key;
        });
        ++result.workers;
        if (!candidate->connected)
            ++result.notConnected;
        else if (!candidate->ready)
            ++result.notReady;
        else if (candidate->evacuated)
            ++result.evacuated;
        else if (!candidate->responsive)
            ++result.unresponsive;
        else if (!mayRun(*candidate, queue, spec))
            ++result.unsuitable;
        else if (candidate->trials > 0)
            ++result.trial;
        else if (spec.maxPerVm > 0 && here >= spec.maxPerVm)
            ++result.vmLimit;
        else if (queue.needsTickets && !m_advice.ticketFor(name, key.id, now))
            ++result.noTicket;
        else if (needed.cpu > 0 && needed.cpu > available.cpu)
            ++result.cpu;
        else if (needed.memoryMb > 0 && needed.memoryMb > available.memoryMb)
            ++result.memory;
        else if (needed.accelerators > 0 && needed.accelerators > available.accelerators)
            ++result.accelerators;
        else if (!candidate->hasRoomFor(needed)
                 || (!candidate->keptForJob.empty() && candidate->keptForJob != job.request.id))
            ++result.held;
        else if (!m_placement.admits(*candidate, spec, { .starved = true }))
            ++result.notAdmitted;
        else if (candidate->excludedUntil > now)
            ++result.excluded;
    }
    return result;
}

void scheduler::logObstacles(const char *event, const std::string &name, duration waited,
                             const placement_obstacles &obstacles, const step_spec &step)
{
    log(log_level::warning, event, obstacleFields(name, waited, obstacles, step), budgetOf(step));
}

/// Logs why an overdue long-running task has no place, if a line is due. \a linesInPass counts the
/// lines of this pass.
void scheduler::logWaitingTask(const overdue_task &waiting, std::uint32_t &linesInPass, instant now)
{
    task &task = waiting.parentOccurrence->steps[waiting.step].tasks[waiting.index];
    if (now < task.nextWaitingLog || linesInPass >= maxWaitingLinesPerPass)
        return;
    ++linesInPass;
    task.nextWaitingLog = now + waitingLogInterval;
    const job &job = *waiting.parentJob;
    const task_name name{ job.request.id, waiting.parentOccurrence->number, waiting.step,
                          waiting.index };
    logObstacles("task_waiting", name.text(), now - waiting.since,
                 obstaclesTo(job, *waiting.queue, *waiting.parentOccurrence, waiting.step, now),
                 job.stepSpec(waiting.step));
}

/// Logs why a starved job has no place, if a line is due. Names its first task that waits.
void scheduler::logStarvedJob(job &job, const queue_config &queue, instant now)
{
    if (now < m_nextStarvedLog || now < job.nextStarvedLog)
        return;
    for (const occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const step_spec &spec = job.stepSpec(step);
            if (occurrence.steps[step].waiting == 0 || !job.dependenciesDone(occurrence, step)
                || spec.longRunning) // has task_waiting lines
                continue;
            const auto &tasks = occurrence.steps[step].tasks;
            const auto first = std::find_if(tasks.begin(), tasks.end(), [](const task &each) {
                return each.phase == task_phase::waiting;
            });
            const task_name name{ job.request.id, occurrence.number, step,
                                  static_cast<std::uint32_t>(first - tasks.begin()) };
            m_nextStarvedLog = now + starvedLogInterval;
            job.nextStarvedLog = now + waitingLogInterval;
            auto fields = obstacleFields(name.text(), now - job.lastActive,
                                         obstaclesTo(job, queue, occurrence, step, now), spec);
            // Rounded down, so that a value below 50 means that the job may count as standing
            // still.
            const auto percent =
                    static_cast<std::int64_t>(100 * detail::shareInUse(m_workers, queue.service));
            fields.emplace_back("service_in_use_percent", std::to_string(percent));
            log(log_level::warning, "job_starved", std::move(fields), budgetOf(spec));
            return;
        }
    }
}

/// Logs exclusions that have begun or ended since the last pass.
void scheduler::logExclusions(instant now)
{
    for (auto &[key, entry] : m_workers) {
        worker &worker = *entry;
        const bool excluded = worker.excludedUntil > now;
        if (excluded && worker.loggedExclusion != worker.exclusionReason) {
            if (worker.loggedExclusion.empty())
                worker.excludedSince = now;
            worker.loggedExclusion = worker.exclusionReason;
            log(log_level::warning, "worker_excluded",
                { { "worker", key.id },
                  { "reason", worker.exclusionReason },
                  { "because_of", worker.exclusionCause },
                  { "for_ms", millisecondsText(worker.excludedUntil - now) },
                  { "runs", std::to_string(worker.runs.size()) },
                  { "room_cpu", std::to_string(worker.freeResources().cpu) } });
        } else if (!excluded && !worker.loggedExclusion.empty()) {
            log(log_level::info, "worker_readmitted",
                { { "worker", key.id },
                  { "reason", worker.loggedExclusion },
                  { "cause", exclusionEndedByRun(worker) ? "completed_run" : "time" },
                  { "took_ms", millisecondsText(now - worker.excludedSince) } });
            worker.loggedExclusion.clear();
        }
    }
}

} // namespace plantainpitch::sched
