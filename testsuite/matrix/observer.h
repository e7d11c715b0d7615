#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/role/outcome_kind.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// Checks the invariants of docs/design.md, section 1.2, from what workers, services, callers and
/// operators see; it reads none of the system's own bookkeeping.
class observer
{
public:
    // Workers.
    void onTaskStarted(instant now, const std::string &vm, const std::string &task,
                       log_position attempt, std::int64_t progressMs);
    void onTaskEnded(const std::string &vm, const std::string &task);
    void onTaskCheckpointed(const std::string &task, log_position attempt, std::int64_t progressMs);
    void onTaskFinished(const std::string &task);
    /// The records of the log, as they are appended.
    void onClaimRecorded(const std::string &task)
    {
        const auto revoked = m_lastRevoked.find(task);
        if (revoked != m_lastRevoked.end())
            m_replaced.emplace(task, revoked->second);
    }
    /// A finish or a release that comes after the claim that replaced its attempt has no effect.
    void onFinishRecorded(const std::string &task, log_position attempt)
    {
        if (!m_replaced.contains({ task, attempt }))
            m_recorded.insert(task);
    }
    void onReleaseRecorded(const std::string &task, log_position attempt, std::int64_t progressMs)
    {
        if (!m_replaced.contains({ task, attempt }))
            m_tasks[task].recordedMs = std::max(m_tasks[task].recordedMs, progressMs);
    }
    void onRevocationRecorded(const std::string &task, log_position attempt)
    {
        m_revoked.emplace(task, attempt);
        m_lastRevoked[task] = attempt;
    }
    /// The knowledge of what the task did at its worker is lost, unless the log has it: the
    /// system has to run the task again from the checkpoint in the log.
    void onTaskForgotten(const std::string &task);
    void onVmUsage(const std::string &vm, const resources &used, const resources &capacity);

    // Services and callers. The number identifies a caller's intention; repetitions share it.
    void onServiceStarted(instant now, const std::string &vm, std::uint64_t number,
                          bool idempotent);
    void onOutcome(std::uint64_t number, bool repeated, outcome_kind outcome, bool ownWholeAnswer);
    void onDrainStarted(instant now, const std::string &vm);
    void onVmReplaced(const std::string &vm);
    /// An accepted job did not end, or ended without success.
    void onJobLost(const std::string &what);
    void onPlannedStopCut(const std::string &what);

    // Configuration.
    void onRevisionSeen(const std::string &process, std::uint64_t revision);
    void onLateRevision(const std::string &process, std::uint64_t revision);

    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::uint64_t finishedTasks() const { return m_finished.size(); }
    [[nodiscard]] std::uint64_t outcomes(outcome_kind kind) const;

private:
    struct task_view
    {
        std::set<std::string> runningOn;
        log_position lastAttempt;
        std::int64_t checkpointMs = 0; ///< last one at a worker
        std::int64_t recordedMs = 0; ///< last one that a release in the log names
    };

    void violate(int invariant, const std::string &what);

    std::map<std::string, task_view> m_tasks;
    std::map<std::string, int> m_finished;
    std::set<std::string> m_recorded; ///< the log has a task_finished
    std::set<std::pair<std::string, log_position>> m_revoked; ///< the log has a task_revoked
    std::map<std::string, log_position> m_lastRevoked;
    std::set<std::pair<std::string, log_position>> m_replaced; ///< claimed again since
    std::map<std::uint64_t, int> m_serviceStarts;
    std::set<std::uint64_t> m_notRun;
    std::map<outcome_kind, std::uint64_t> m_outcomes;
    std::map<std::string, instant> m_draining;
    std::map<std::string, std::uint64_t> m_revisions;
    std::vector<std::string> m_violations;
};

} // namespace plantainpitch::matrix
