#include "stray_tasks.h"

#include <chrono>

namespace plantainpitch {

namespace {

constexpr duration callInterval = std::chrono::milliseconds(500);

} // namespace

void stray_tasks::onListed(instant now, const std::vector<worker_task> &entries)
{
    std::map<std::pair<task_id, log_position>, stray> listed;
    for (const worker_task &entry : entries) {
        const auto key = std::pair(entry.task, entry.attempt);
        stray current{ .entry = entry, .seenAt = now };
        if (const auto known = m_strays.find(key); known != m_strays.end()) {
            current = known->second;
            current.entry = entry;
        }
        listed.emplace(key, std::move(current));
    }
    m_strays = std::move(listed);
}

std::optional<worker_task> stray_tasks::take(const held_task &claim)
{
    const auto found = m_strays.find(std::pair(claim.task, claim.attempt));
    if (found == m_strays.end())
        return std::nullopt;
    worker_task entry = std::move(found->second.entry);
    m_strays.erase(found);
    return entry;
}

void stray_tasks::onNoClaims(instant sentAt)
{
    for (auto &[key, current] : m_strays) {
        if (current.seenAt <= sentAt)
            current.unclaimed = true;
    }
}

void stray_tasks::onWorkerAnswer(const worker_answer &answer)
{
    for (auto &[key, current] : m_strays) {
        if (current.callId == answer.callId)
            current.callId = 0;
    }
}

void stray_tasks::step(instant now, worker_link &worker)
{
    for (auto &[key, current] : m_strays) {
        if (!current.unclaimed || current.callId != 0 || now < current.nextCallAt)
            continue;
        const bool running = current.entry.state == worker_task_state::running;
        current.nextCallAt = now + callInterval;
        current.callId = worker.send(
                now, { .operation = running ? worker_operation::stop : worker_operation::forget,
                       .task = key.first,
                       .attempt = key.second });
    }
}

bool stray_tasks::knows(const task_id &task) const
{
    const auto found = m_strays.lower_bound(std::pair(task, log_position{}));
    return found != m_strays.end() && found->first.first == task;
}

} // namespace plantainpitch
