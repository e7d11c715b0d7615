#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/job_state.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/resources.h"
#include "plantainpitch/sched/task_phase.h"
#include "plantainpitch/sched/worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

struct task
{
    task_phase phase = task_phase::waiting;
    std::uint32_t run = 0; ///< number of the last start; 0: never started
    std::uint32_t failures = 0;
    std::uint32_t crashes = 0; ///< workers that crashed right after they had started it
    /// Of these, the crashes that followed at once and had no other suspect.
    std::uint32_t conclusiveCrashes = 0;
    std::uint32_t crashedRun = 0; ///< last run that is counted in crashes
    worker_key place; ///< worker of the last start
    std::string checkpoint;
    bool reported = false; ///< the worker has reported the run
    instant runningSince{}; ///< of the first report, if it has been reported
    bool refused = false; ///< the last start was refused by the worker
    instant retryAt{}; ///< not started again before
    /// Of a long-running step: time of the first pass that found the task waiting after its last
    /// run. A start that is refused does not change it.
    std::optional<instant> waitingSince;
    instant nextWaitingLog{}; ///< no line about its wait before
    instant orderedAt{}; ///< of the last start; the takeover, if an earlier owner ordered it
    instant crashedAt{}; ///< the last crash; the takeover, if an earlier owner counted it

    /// Suspected of crashing the workers that start it.
    [[nodiscard]] bool suspected() const { return crashes > 0; }
    /// The next run is a trial, beside which nothing else starts. One crash that points to no
    /// single task does not call for one: most tasks that had just begun are harmless.
    [[nodiscard]] bool needsTrial() const { return crashes > 1 || conclusiveCrashes > 0; }

    /// To be called when a run of the task is known to have existed.
    void endWait()
    {
        waitingSince.reset();
        nextWaitingLog = {};
        refused = false;
    }
};

/// One step of one occurrence.
struct step_run
{
    std::vector<task> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t active = 0;
    std::uint32_t done = 0;
    std::uint32_t lastFailedRun = 0; ///< of a gang
};

struct occurrence
{
    std::uint32_t number = 0;
    std::vector<step_run> steps;
    std::uint32_t doneSteps = 0;
};

struct job
{
    submission request;
    std::vector<occurrence> occurrences; ///< those that are due
    bool occurrencesLimited = false; ///< more are due than maxTasksPerJob allows
    job_outcome outcome = job_outcome::open;
    std::int64_t endedMs = 0; ///< wall clock
    bool started = false; ///< some task was ordered to start
    bool begun = false; ///< some task has run, as far as this owner has seen
    instant received{};
    instant objective{}; ///< end of the time in which completion earns full credit
    instant nextStarvedLog{}; ///< no line about its wait before
    /// When a task was last known to run or none could be started; at first, the reception. An
    /// order alone does not count, as it may be refused or lost.
    instant lastActive{};

    /// State that the store has acknowledged; clients see only this one.
    job_state committedState = job_state::queued;
    bool stored = false; ///< the submission is stored

    /// Values of the progress records after the first, as the store has them after the batch on its
    /// way; empty: no record.
    std::vector<std::string> furtherProgress;

    // Changes that the next commit stores.
    bool submissionChanged = false;
    bool progressChanged = false;

    [[nodiscard]] const step_spec &stepSpec(std::uint32_t step) const
    {
        return *request.spec->steps[step];
    }
    [[nodiscard]] job_state state() const;
    [[nodiscard]] bool ended() const { return outcome != job_outcome::open; }
    /// Clients see that the job has ended.
    [[nodiscard]] bool isShownAsEnded() const
    {
        return committedState != job_state::queued && committedState != job_state::running;
    }
    /// All tasks of the steps that \a step depends on are done.
    [[nodiscard]] bool dependenciesDone(const occurrence &occurrence, std::uint32_t step) const;
    [[nodiscard]] std::uint32_t occurrenceCount() const
    {
        return request.spec->occurrences > 0 ? request.spec->occurrences : 1;
    }
    /// Has a step that runs until the job is cancelled, so that the job is never completed.
    [[nodiscard]] bool isLongRunning() const;
    /// Some task waits whose step's dependencies are done.
    [[nodiscard]] bool hasStartableTask() const;
    [[nodiscard]] bool isActive() const; ///< some task is active
    /// A job that is completed later has no worth any more.
    [[nodiscard]] instant lastUsefulEnd() const;
    /// Longest chain of estimated run times over the steps, ms.
    [[nodiscard]] std::int64_t longestChainMs() const;
    /// Work of one occurrence in core-milliseconds, by the estimates.
    [[nodiscard]] double estimatedWork() const;
    /// The same for the tasks of all due occurrences that are not done.
    [[nodiscard]] double remainingWork() const;
    /// Longest chain over the steps that are not done, ms.
    [[nodiscard]] std::int64_t remainingChainMs() const;
};

/// Resources that one task of the step reserves; a filling step reserves no processors.
resources reservation(const step_spec &step);
/// The same, as the order to start the task carries it.
resources reservation(const start_order &order);
/// What the worker has announced.
resources capacityOf(const worker_info &info);
/// Writes what a task of the step reserves into the order or description.
void setReservation(start_order &order, const step_spec &step);

/// Name of the step's image; "unnamed" for steps that name none, which then count as one image.
std::string imageOf(const step_spec &step);

/// Allocation of a run of the step on its worker.
allocation allocationFor(const step_spec &step, std::uint32_t run);

} // namespace plantainpitch::sched
