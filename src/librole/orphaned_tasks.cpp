#include "orphaned_tasks.h"

#include <chrono>

namespace plantainpitch {

namespace {

constexpr duration callInterval = std::chrono::milliseconds(500);

} // namespace

void orphaned_tasks::onListed(instant now, const std::vector<worker_task> &entries)
{
    std::map<std::pair<task_id, log_position>, orphan> listed;
    for (const worker_task &entry : entries) {
        const auto key = std::pair(entry.task, entry.attempt);
        orphan current{ .entry = entry, .seenAt = now };
        if (const auto known = m_orphans.find(key); known != m_orphans.end()) {
            current = known->second;
            current.entry = entry;
        }
        listed.emplace(key, std::move(current));
    }
    m_orphans = std::move(listed);
}

std::optional<worker_task> orphaned_tasks::take(const held_task &claim)
{
    const auto found = m_orphans.find(std::pair(claim.task, claim.attempt));
    if (found == m_orphans.end())
        return std::nullopt;
    worker_task entry = std::move(found->second.entry);
    m_orphans.erase(found);
    return entry;
}

void orphaned_tasks::onNoClaims(instant sentAt)
{
    for (auto &[key, current] : m_orphans) {
        if (current.seenAt <= sentAt)
            current.unclaimed = true;
    }
}

void orphaned_tasks::onWorkerAnswer(const worker_answer &answer)
{
    for (auto &[key, current] : m_orphans) {
        if (current.callId == answer.callId)
            current.callId = 0;
    }
}

void orphaned_tasks::step(instant now, worker_link &worker)
{
    for (auto &[key, current] : m_orphans) {
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

bool orphaned_tasks::contains(const task_id &task) const
{
    const auto found = m_orphans.lower_bound(std::pair(task, log_position{}));
    return found != m_orphans.end() && found->first.first == task;
}

} // namespace plantainpitch
