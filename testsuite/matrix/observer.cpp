#include "observer.h"

namespace plantainpitch::matrix {

namespace {

constexpr duration leavingBound = std::chrono::seconds(3);

} // namespace

void observer::violate(int invariant, const std::string &what)
{
    m_violations.push_back("invariant " + std::to_string(invariant) + ": " + what);
}

void observer::onTaskStarted(instant, const std::string &vm, const std::string &task,
                             log_position attempt, std::int64_t progressMs)
{
    task_view &view = m_tasks[task];
    // A holder that is cut off or frozen past its term may know of a checkpoint or of the end of
    // the task without recording it; its claim was revoked and waited out.
    if (attempt != view.lastAttempt && m_revoked.contains({ task, view.lastAttempt }))
        onTaskForgotten(task);
    view.runningOn.insert(vm);
    if (view.runningOn.size() > 1)
        violate(2, task + " runs on two VMs, the second is " + vm);
    if (attempt < view.lastAttempt)
        violate(3, task + " was started under an older attempt on " + vm);
    if (progressMs < view.checkpointMs)
        violate(3, task + " resumed at " + std::to_string(progressMs) + " ms, its last checkpoint "
                           + "is " + std::to_string(view.checkpointMs) + " ms");
    if (m_finished[task] > 0)
        violate(3, task + " was started after it had finished");
    view.lastAttempt = attempt;
}

void observer::onTaskEnded(const std::string &vm, const std::string &task)
{
    m_tasks[task].runningOn.erase(vm);
}

void observer::onTaskCheckpointed(const std::string &task, log_position attempt,
                                  std::int64_t progressMs)
{
    task_view &view = m_tasks[task];
    if (attempt == view.lastAttempt)
        view.checkpointMs = progressMs;
}

void observer::onTaskFinished(const std::string &task)
{
    if (++m_finished[task] > 1)
        violate(3, task + " finished twice");
}

void observer::onTaskForgotten(const std::string &task)
{
    m_tasks[task].checkpointMs = m_tasks[task].recordedMs;
    if (!m_recorded.contains(task))
        m_finished[task] = 0;
}

void observer::onVmUsage(const std::string &vm, const resources &used, const resources &capacity)
{
    if (!used.fitsIn(capacity))
        violate(1, vm + " was given more than it has");
}

void observer::onServiceStarted(instant now, const std::string &vm, std::uint64_t number,
                                bool idempotent)
{
    const int starts = ++m_serviceStarts[number];
    if (!idempotent && starts > 1)
        violate(6, "request " + std::to_string(number) + " ran twice, now on " + vm);
    if (m_notRun.contains(number))
        violate(5, "request " + std::to_string(number) + " ran after the outcome not run");
    const auto draining = m_draining.find(vm);
    if (draining != m_draining.end() && now - draining->second > leavingBound)
        violate(7, vm + " started a request while it was leaving");
}

void observer::onOutcome(std::uint64_t number, bool repeated, outcome_kind outcome,
                         bool ownWholeAnswer)
{
    ++m_outcomes[outcome];
    if (outcome == outcome_kind::answered && !ownWholeAnswer)
        violate(4, "request " + std::to_string(number) + " got a wrong or partial answer");
    // A caller that repeats a request under the same key knows only the last word on it.
    if (outcome == outcome_kind::not_run && !repeated) {
        m_notRun.insert(number);
        if (m_serviceStarts[number] > 0)
            violate(5, "request " + std::to_string(number) + " ran and was reported as not run");
    }
}

void observer::onDrainStarted(instant now, const std::string &vm)
{
    m_draining.emplace(vm, now);
}

void observer::onVmReplaced(const std::string &vm)
{
    m_draining.erase(vm);
}

void observer::onPlannedStopCut(const std::string &what)
{
    violate(8, what);
}

void observer::onRevisionSeen(const std::string &process, std::uint64_t revision)
{
    std::uint64_t &highest = m_revisions[process];
    if (revision < highest)
        violate(9, process + " went back to an older configuration");
    highest = std::max(highest, revision);
}

void observer::onLateRevision(const std::string &process, std::uint64_t revision)
{
    violate(9, process + " has not applied revision " + std::to_string(revision) + " in time");
}

void observer::onJobLost(const std::string &what)
{
    m_violations.push_back("task lost: " + what);
}

std::uint64_t observer::outcomes(outcome_kind kind) const
{
    const auto it = m_outcomes.find(kind);
    return it == m_outcomes.end() ? 0 : it->second;
}

} // namespace plantainpitch::matrix
