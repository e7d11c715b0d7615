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

/// What one entry knows about the failures of tasks beyond the fold: when the last one was, and
/// which ones are the fault of a quarantined VM. An entry that starts from a snapshot knows none of
/// this and counts every failure.
class task_retries
{
public:
    void onFailure(instant now, const task_id &task);
    /// One failure of the task on this VM does not count against the task.
    void excuse(const task_id &task, const std::string &vm);
    void erase(const task_id &task) { m_entries.erase(task); }
    /// Forgets the tasks that the cell does not hold open.
    void keepOpenTasks(const cell_state &cell);

    [[nodiscard]] std::uint32_t countedFailures(const task_id &task, const task_state &state) const;
    [[nodiscard]] std::size_t countedVms(const task_id &task, const task_state &state) const;
    [[nodiscard]] bool mayRetry(instant now, const task_id &task, const task_state &state,
                                priority taskPriority) const;

private:
    struct entry
    {
        instant lastFailure;
        std::map<std::string, std::uint32_t> excused; ///< failures by VM
    };

    std::unordered_map<task_id, entry> m_entries;
};

} // namespace plantainpitch
