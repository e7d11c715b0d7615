#pragma once

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
        const std::uint64_t at = offset++;
        const record_batch batch{ .producer = producer,
                                  .sequence = at + 1,
                                  .records = { std::move(record) } };
        return state.apply({ .offset = at, .batch = batch }).at(0);
    }

    fold_result submit(const std::string &job, std::uint32_t tasks = 1)
    {
        return put(job_submitted{
                .job = job, .templateName = "t", .account = "a", .taskCount = tasks });
    }

    fold_result claim(const task_id &task, const std::string &vm, log_position base)
    {
        return put(task_claimed{
                .task = task, .vm = vm, .agent = 7, .workerBoot = "boot-" + vm, .base = base });
    }

    fold_result release(const task_id &task, log_position attempt, release_reason reason,
                        const std::string &checkpoint = "")
    {
        return put(task_released{
                .task = task, .attempt = attempt, .checkpoint = checkpoint, .reason = reason });
    }

    /// Claims the task on the basis of its last change.
    log_position claimNow(const task_id &task, const std::string &vm)
    {
        return claim(task, vm, get(task).lastChange).position;
    }

    [[nodiscard]] const task_state &get(const task_id &task) const { return *state.findTask(task); }
};

} // namespace plantainpitch::test
