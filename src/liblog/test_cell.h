#pragma once

#include "test_batch.h"

#include "plantainpitch/log/cell_state.h"

#include <string>
#include <utility>

namespace plantainpitch::test {

/// A cell whose stream is written record by record.
struct test_cell
{
    cell_state state;
    std::uint64_t offset = 0;

    fold_result put(log_record record, std::uint64_t producer = 1)
    {
        return state.apply(batchAt(offset++, { std::move(record) }, producer)).at(0);
    }

    fold_result submit(const std::string &job, std::uint32_t tasks = 1)
    {
        return put(job_submitted{ .job = job, .taskCount = tasks });
    }

    fold_result claim(const task_id &task, const std::string &vm, log_position base)
    {
        return put(task_claimed{ task, vm, 7, "boot-" + vm, base });
    }

    fold_result release(const task_id &task, log_position attempt, release_reason reason,
                        const std::string &checkpoint = "")
    {
        return put(task_released{ task, attempt, checkpoint, reason });
    }

    /// Claims the task on the basis of its last change.
    log_position claimNow(const task_id &task, const std::string &vm)
    {
        return claim(task, vm, get(task).lastChange).position;
    }

    [[nodiscard]] const task_state &get(const task_id &task) const { return *state.findTask(task); }
};

} // namespace plantainpitch::test
