#include "authority_service.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::detail {

namespace {

/// Limits the append rate of an entry that has nothing else to append: the log accepts several
/// hundred appends per second for all entries together.
constexpr duration markerInterval = std::chrono::milliseconds(500);

std::optional<withdrawal> findWithdrawalReason(const cell_state &cell,
                                               const authority_service::pending_request &pending,
                                               const held_task &held)
{
    const task_state *task = cell.findTask(held.task);
    if (!task || isFinal(task->phase) || task->phase == task_phase::pending
        || task->attempt != held.attempt || task->vm != pending.request.vm)
        return withdrawal::not_held;
    if (cell.findJob(held.task.job)->cancelled)
        return withdrawal::cancelled;
    if (task->phase == task_phase::revoking)
        return withdrawal::revoked;
    // A replaced agent must stop the task: its successor may already have released it.
    if (task->agent != pending.agentIncarnation)
        return withdrawal::other_agent;
    return std::nullopt;
}

} // namespace

void authority_service::add(pending_request request)
{
    std::erase_if(m_pendingRequests, [&](const pending_request &item) {
        return item.connection == request.connection;
    });
    m_pendingRequests.push_back(std::move(request));
}

void authority_service::erase(connection_id connection)
{
    const auto matches = [connection](const pending_request &item) {
        return item.connection == connection;
    };
    std::erase_if(m_pendingRequests, matches);
    std::erase_if(m_coveredRequests, matches);
}

bool authority_service::isMarkerDue(instant now) const
{
    return !m_pendingRequests.empty() && !m_markerOutstanding
           && (!m_lastMarker || now - *m_lastMarker >= markerInterval);
}

void authority_service::onMarkerSubmitted(instant now)
{
    m_lastMarker = now;
    m_markerOutstanding = true;
    m_coveredRequests = std::exchange(m_pendingRequests, {});
}

std::vector<authority_service::pending_request> authority_service::takeCovered()
{
    m_markerOutstanding = false;
    return std::exchange(m_coveredRequests, {});
}

authority_grant authority_service::makeGrant(const cell_state &cell, const pending_request &pending)
{
    const auto &held = pending.request.held;
    authority_grant grant{ .nonce = pending.request.nonce,
                           .nextOffset = cell.nextOffset(),
                           .withdrawn = {},
                           .unlisted = {} };
    for (const held_task &item : held) {
        if (const auto reason = findWithdrawalReason(cell, pending, item))
            grant.withdrawn.push_back({ item.task, item.attempt, *reason });
    }
    for (const task_id &id : cell.tasksHeldBy(pending.request.vm)) {
        const held_task item = { id, cell.findTask(id)->attempt };
        if (std::find(held.begin(), held.end(), item) == held.end())
            grant.unlisted.push_back({ item, cell.findJob(id.job)->description.authorityTermMs });
    }
    return grant;
}

} // namespace plantainpitch::detail
