#include "plantainpitch/sched/scheduler.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using seconds = std::chrono::duration<double>;

/// Calls \a visit with each task of a long-running step that could run, as far as its job goes, and
/// is not on a worker.
template <typename Visit>
void visitWaitingLongRunning(const std::vector<job *> &jobs, const Visit &visit)
{
    for (job *job : jobs) {
        if (!job->isLongRunning())
            continue;
        for (occurrence &occurrence : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const step_run &state = occurrence.steps[step];
                if (!job->stepSpec(step).longRunning || state.waiting == 0
                    || !job->dependenciesDone(occurrence, step))
                    continue;
                for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
                    if (state.tasks[index].phase == task_phase::waiting)
                        visit(*job, occurrence, step, index);
                }
            }
        }
    }
}

struct evacuated_runs
{
    std::size_t count = 0;
    duration oldest{}; ///< time since its start was ordered

    bool operator==(const evacuated_runs &) const = default;
};

/// The runs that are still on workers in evacuated data centres.
evacuated_runs findEvacuatedRuns(const std::vector<job *> &jobs,
                                 const std::map<worker_key, std::unique_ptr<worker>> &workers,
                                 instant now)
{
    evacuated_runs result;
    const auto add = [&](const task &task) {
        if (task.phase != task_phase::active)
            return;
        const auto place = workers.find(task.place);
        if (place == workers.end() || !place->second->evacuated)
            return;
        ++result.count;
        result.oldest = std::max(result.oldest, now - task.orderedAt);
    };
    for (const job *job : jobs) {
        for (const occurrence &occurrence : job->occurrences) {
            for (const step_run &step : occurrence.steps) {
                if (step.active > 0)
                    std::for_each(step.tasks.begin(), step.tasks.end(), add);
            }
        }
    }
    return result;
}

} // namespace

std::vector<set_gauge> scheduler::gauges(instant now) const
{
    std::size_t waiting = 0;
    duration longestWait{};
    visitWaitingLongRunning(m_open, [&](const job & /*job*/, const occurrence &occurrence,
                                        std::uint32_t step, std::uint32_t index) {
        ++waiting;
        const task &task = occurrence.steps[step].tasks[index];
        longestWait = std::max(longestWait, now - task.waitingSince.value_or(now));
    });
    std::size_t starvedJobs = 0;
    duration longestStarvation{};
    for (const job *job : m_open) {
        if (!isStarved(*job, now) || job->isLongRunning() || !queueOf(*job)
            || !job->hasStartableTask())
            continue;
        ++starvedJobs;
        longestStarvation = std::max(longestStarvation, now - job->lastActive);
    }
    const evacuated_runs evacuated = m_evacuations.dataCentres.empty()
                                             ? evacuated_runs()
                                             : findEvacuatedRuns(m_open, m_workers, now);
    const auto excludedWorkers =
            std::count_if(m_workers.begin(), m_workers.end(),
                          [now](const auto &each) { return each.second->excludedUntil > now; });
    return { { .name = "long_running_waiting", .value = static_cast<double>(waiting) },
             { .name = "long_running_longest_wait_seconds", .value = seconds(longestWait).count() },
             { .name = "starved_jobs", .value = static_cast<double>(starvedJobs) },
             { .name = "starved_jobs_longest_wait_seconds",
               .value = seconds(longestStarvation).count() },
             { .name = "excluded_workers", .value = static_cast<double>(excludedWorkers) },
             { .name = "evacuated_data_centres",
               .value = static_cast<double>(m_evacuations.dataCentres.size()) },
             { .name = "evacuated_runs", .value = static_cast<double>(evacuated.count) },
             { .name = "evacuated_oldest_run_seconds",
               .value = seconds(evacuated.oldest).count() } };
}

} // namespace plantainpitch::sched
