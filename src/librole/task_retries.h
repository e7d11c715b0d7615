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
/// failure, and the failures attributed to quarantined VMs. It is not part of snapshots, so an
/// entry that starts from one counts every failure.
class task_retries
{
public:
    void onFailure(instant now, const task_id &task);
    /// Excludes one failure of the task on this VM from its counted failures.
    void excludeFailure(const task_id &task, const std::string &vm);
    void erase(const task_id &task) { m_entries.erase(task); }
    /// Removes the tasks that are unknown to the cell or in a final phase.
    void removeClosedTasks(const cell_state &cell);

    [[nodiscard]] std::uint32_t countedFailures(const task_id &task,
                                                const task_state &taskState) const;
    [[nodiscard]] std::size_t countedFailedVms(const task_id &task,
                                               const task_state &taskState) const;
    [[nodiscard]] bool mayRetry(instant now, const task_id &task, const task_state &taskState,
                                priority taskPriority) const;

private:
    struct entry
    {
        instant lastFailure;
        std::map<std::string, std::uint32_t> excludedFailures; ///< failures by VM
    };

    std::unordered_map<task_id, entry> m_entries;
};

} // namespace plantainpitch
