#include "task_retries.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

// Five quick attempts fit into a fault of a worker that lasts a second; with these delays they span
// 15 s.
constexpr duration firstDelay = std::chrono::seconds(1);
constexpr duration maxDelay = std::chrono::seconds(60);

duration delayAfter(std::uint32_t failures, priority taskPriority)
{
    if (failures == 0 || (failures == 1 && taskPriority == priority::urgent))
        return duration::zero();
    constexpr std::uint32_t doublingsToMax = 6;
    return std::min(maxDelay, firstDelay * (1 << std::min(failures - 1, doublingsToMax)));
}

} // namespace

void task_retries::onFailure(instant now, const task_id &task)
{
    m_entries[task].lastFailure = now;
}

void task_retries::excuse(const task_id &task, const std::string &vm)
{
    const auto known = m_entries.find(task);
    if (known != m_entries.end())
        ++known->second.excused[vm];
}

void task_retries::keepOpenTasks(const cell_state &cell)
{
    std::erase_if(m_entries, [&](const auto &known) {
        const task_state *state = cell.findTask(known.first);
        return state == nullptr || isFinal(state->phase);
    });
}

std::uint32_t task_retries::countedFailures(const task_id &task, const task_state &state) const
{
    const auto known = m_entries.find(task);
    if (known == m_entries.end())
        return state.failures;
    std::uint32_t excused = 0;
    for (const auto &[vm, failures] : known->second.excused)
        excused += failures;
    return state.failures - std::min(excused, state.failures);
}

std::size_t task_retries::countedVms(const task_id &task, const task_state &state) const
{
    const auto known = m_entries.find(task);
    if (known == m_entries.end())
        return state.failedVms.size();
    return static_cast<std::size_t>(
            std::count_if(state.failedVms.begin(), state.failedVms.end(),
                          [&](const auto &vm) { return !known->second.excused.contains(vm); }));
}

bool task_retries::mayRetry(instant now, const task_id &task, const task_state &state,
                            priority taskPriority) const
{
    const auto known = m_entries.find(task);
    return known == m_entries.end()
           || now >= known->second.lastFailure
                              + delayAfter(countedFailures(task, state), taskPriority);
}

} // namespace plantainpitch
