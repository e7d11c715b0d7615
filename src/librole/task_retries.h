#pragma once

#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/log/task_state.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/priority.h"
#include "plantainpitch/model/task_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace plantainpitch {

/// Failure data of tasks that an entry keeps in addition to the cell state: the time of the last
/// failure, the failures attributed to quarantined VMs, and the reboots of workers soon after they
/// had started the task. It is not part of snapshots, so an entry that starts from one counts every
/// failure, and no earlier reboot.
class task_retries
{
public:
    void onFailure(instant now, const task_id &task);
    /// Excludes one failure of the task on this VM from its counted failures.
    void excludeFailure(const task_id &task, const std::string &vm);
    /// Handles the reboot of the worker that had the task; \a held is the age of the claim.
    void onWorkerRebooted(const task_id &task, duration held);
    void erase(const task_id &task) { m_entries.erase(task); }
    /// Removes the tasks that are unknown to the cell or in a final phase.
    void removeClosedTasks(const cell_state &cell);

    [[nodiscard]] std::uint32_t countedFailures(const task_id &task,
                                                const task_state &taskState) const;
    [[nodiscard]] std::size_t countedFailedVms(const task_id &task,
                                               const task_state &taskState) const;
    /// Returns how many workers in a row rebooted soon after they had started the task.
    [[nodiscard]] std::uint32_t earlyReboots(const task_id &task) const;
    [[nodiscard]] bool mayRetry(instant now, const task_id &task, const task_state &taskState,
                                priority taskPriority) const;

private:
    struct entry
    {
        instant lastFailure{ duration::min() / 2 }; ///< no failure before
        std::uint32_t earlyReboots = 0;
        std::map<std::string, std::uint32_t> excludedFailures; ///< failures by VM
    };

    std::unordered_map<task_id, entry> m_entries;
};

} // namespace plantainpitch
