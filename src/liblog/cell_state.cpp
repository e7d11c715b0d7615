#include "plantainpitch/log/cell_state.h"

#include "fold_results.h"

#include <algorithm>
#include <array>
#include <variant>

namespace plantainpitch {

namespace {

/// Records whose tasks are looked up before the first of them is folded: the processor overlaps
/// the loads from memory, which take most of the time of a fold over many tasks.
constexpr std::size_t lookAhead = 16;

constexpr std::size_t cacheLineBytes = 64;

template <class record>
constexpr bool namesTask = requires(record r)
{
    r.task;
};

} // namespace

cell_state::cell_state(const cell_state &other)
    : m_jobs(other.m_jobs)
    , m_keys(other.m_keys)
    , m_producers(other.m_producers)
    , m_nextOffset(other.m_nextOffset)
{
    rebuildIndexes();
}

cell_state &cell_state::operator=(const cell_state &other)
{
    if (this != &other)
        *this = cell_state(other);
    return *this;
}

std::vector<fold_result> cell_state::apply(const stored_batch &stored)
{
    if (stored.offset < m_nextOffset)
        return {};
    m_nextOffset = stored.offset + 1;
    if (m_producers.forgetOld(stored.offset))
        m_keys.forgetProducers(m_producers);
    if (!m_producers.admit(stored))
        return {};

    m_producer = stored.batch.producer;
    const std::vector<log_record> &records = stored.batch.records;
    std::vector<fold_result> results;
    results.reserve(records.size());
    std::array<found_task, lookAhead> found;
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (i % lookAhead == 0) {
            const std::size_t group = std::min(lookAhead, records.size() - i);
            for (std::size_t j = 0; j < group; ++j)
                found[j] = locate(records[i + j]);
        }
        const log_position at = log_position::of(stored.offset, i);
        results.push_back(fold(records[i], found[i % lookAhead], at));
    }
    return results;
}

cell_state::found_task cell_state::locate(const log_record &record)
{
    const found_task found = std::visit(
            [this](const auto &r) {
                if constexpr (namesTask<decltype(r)>)
                    return find(r.task);
                else
                    return found_task();
            },
            record);
    if (found.task != nullptr) {
        const char *const begin = reinterpret_cast<const char *>(found.task);
        for (std::size_t byte = 0; byte < sizeof(task_state); byte += cacheLineBytes)
            __builtin_prefetch(begin + byte, 1);
    }
    return found;
}

fold_result cell_state::fold(const log_record &record, found_task found, log_position at)
{
    return std::visit(
            [&](const auto &r) {
                if constexpr (namesTask<decltype(r)>) {
                    // The job may have been submitted after the task was looked up.
                    if (found.task == nullptr)
                        found = find(r.task);
                    if (found.task == nullptr)
                        return detail::refusedAt(at, "task is unknown");
                    return fold(r, found, at);
                } else {
                    return fold(r, at);
                }
            },
            record);
}

const job_state *cell_state::findJob(const std::string &job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : &it->second;
}

const task_state *cell_state::findTask(const task_id &task) const
{
    const job_state *job = findJob(task.job);
    return job != nullptr && task.index < job->tasks.size() ? &job->tasks[task.index] : nullptr;
}

const key_state *cell_state::findKey(const std::string &account, const std::string &key) const
{
    return m_keys.find(key_table::name(account, key));
}

std::vector<task_id> cell_state::tasksHeldBy(const std::string &vm) const
{
    const auto it = m_heldByVm.find(vm);
    if (it == m_heldByVm.end())
        return {};
    std::vector<task_id> tasks;
    tasks.reserve(it->second.size());
    for (const held_task &held : it->second)
        tasks.push_back({ .job = held.job->description.job, .index = held.index });
    std::sort(tasks.begin(), tasks.end());
    return tasks;
}

cell_state::found_task cell_state::find(const task_id &id)
{
    const auto it = m_jobs.find(id.job);
    if (it == m_jobs.end() || id.index >= it->second.tasks.size())
        return {};
    return { .job = &it->second, .task = &it->second.tasks[id.index] };
}

void cell_state::addHeld(const std::string &vm, held_task task)
{
    m_heldByVm[vm].push_back(task);
}

void cell_state::removeHeld(const std::string &vm, held_task task)
{
    const auto it = m_heldByVm.find(vm);
    if (it == m_heldByVm.end())
        return;
    std::vector<held_task> &tasks = it->second;
    const auto held = std::find(tasks.begin(), tasks.end(), task);
    if (held != tasks.end()) {
        *held = tasks.back();
        tasks.pop_back();
    }
    if (tasks.empty())
        m_heldByVm.erase(it);
}

fold_result cell_state::fold(const snapshot_part &, log_position at)
{
    return detail::acceptedAt(at, {});
}

fold_result cell_state::fold(const read_marker &, log_position at)
{
    return detail::acceptedAt(at, {});
}

fold_result cell_state::fold(const config_change &, log_position at)
{
    return detail::refusedAt(at, "configuration does not belong to this stream");
}

} // namespace plantainpitch
