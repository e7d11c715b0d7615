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
    const auto excludedWorkers =
            std::count_if(m_workers.begin(), m_workers.end(),
                          [now](const auto &each) { return each.second->excludedUntil > now; });
    return { { .name = "long_running_waiting", .value = static_cast<double>(waiting) },
             { .name = "long_running_longest_wait_seconds", .value = seconds(longestWait).count() },
             { .name = "starved_jobs", .value = static_cast<double>(starvedJobs) },
             { .name = "starved_jobs_longest_wait_seconds",
               .value = seconds(longestStarvation).count() },
             { .name = "excluded_workers", .value = static_cast<double>(excludedWorkers) } };
}

} // namespace plantainpitch::sched
