#include "task_retries.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

// Without a delay, five attempts can all fall within a one-second fault of a worker; with these
// delays they span 15 s.
constexpr duration initialRetryDelay = std::chrono::seconds(1);
constexpr duration maxRetryDelay = std::chrono::seconds(60);

// A worker that a task crashes right after its start has a new boot id within this time. A task
// that was held for longer has not caused the reboot at its start.
constexpr duration earlyRebootWindow = std::chrono::seconds(60);

duration retryDelay(std::uint32_t failures, priority taskPriority)
{
    if (failures == 0 || (failures == 1 && taskPriority == priority::urgent))
        return duration::zero();
    constexpr std::uint32_t doublingsToMax = 6;
    return std::min(maxRetryDelay,
                    initialRetryDelay * (1 << std::min(failures - 1, doublingsToMax)));
}

} // namespace

void task_retries::onFailure(instant now, const task_id &task)
{
    m_entries[task].lastFailure = now;
}

void task_retries::excludeFailure(const task_id &task, const std::string &vm)
{
    const auto found = m_entries.find(task);
    if (found != m_entries.end())
        ++found->second.excludedFailures[vm];
}

void task_retries::onWorkerRebooted(const task_id &task, duration held)
{
    if (held <= earlyRebootWindow)
        ++m_entries[task].earlyReboots;
    else if (const auto found = m_entries.find(task); found != m_entries.end())
        found->second.earlyReboots = 0;
}

std::uint32_t task_retries::earlyReboots(const task_id &task) const
{
    const auto found = m_entries.find(task);
    return found == m_entries.end() ? 0 : found->second.earlyReboots;
}

void task_retries::removeClosedTasks(const cell_state &cell)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        const task_state *taskState = cell.findTask(entry.first);
        return taskState == nullptr || isFinal(taskState->phase);
    });
}

std::uint32_t task_retries::countedFailures(const task_id &task, const task_state &taskState) const
{
    const auto found = m_entries.find(task);
    if (found == m_entries.end())
        return taskState.failures;
    std::uint32_t excluded = 0;
    for (const auto &[vm, failures] : found->second.excludedFailures)
        excluded += failures;
    return taskState.failures - std::min(excluded, taskState.failures);
}

std::size_t task_retries::countedFailedVms(const task_id &task, const task_state &taskState) const
{
    const auto found = m_entries.find(task);
    if (found == m_entries.end())
        return taskState.failedVms.size();
    return static_cast<std::size_t>(std::count_if(
            taskState.failedVms.begin(), taskState.failedVms.end(),
            [&](const auto &vm) { return !found->second.excludedFailures.contains(vm); }));
}

bool task_retries::mayRetry(instant now, const task_id &task, const task_state &taskState,
                            priority taskPriority) const
{
    const auto found = m_entries.find(task);
    return found == m_entries.end()
           || now >= found->second.lastFailure
                              + retryDelay(countedFailures(task, taskState), taskPriority);
}

} // namespace plantainpitch
