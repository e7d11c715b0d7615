#include "authority_service.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::detail {

namespace {

/// Bounds the appends of an entry that has nothing else to append: the log takes several hundred a
/// second for all entries together.
constexpr duration markerInterval = std::chrono::milliseconds(500);

std::optional<withdrawal> checkClaim(const cell_state &cell,
                                     const authority_service::waiting_request &waiting,
                                     const held_task &held)
{
    const task_state *task = cell.findTask(held.task);
    if (!task || isFinal(task->phase) || task->phase == task_phase::pending
        || task->attempt != held.attempt || task->vm != waiting.request.vm)
        return withdrawal::not_held;
    if (cell.findJob(held.task.job)->cancelled)
        return withdrawal::cancelled;
    if (task->phase == task_phase::revoking)
        return withdrawal::revoked;
    // An agent that was replaced must not go on: its successor may already have released the task.
    if (task->agent != waiting.agent)
        return withdrawal::other_agent;
    return std::nullopt;
}

} // namespace

void authority_service::add(waiting_request request)
{
    std::erase_if(m_waiting, [&](const waiting_request &item) {
        return item.connection == request.connection;
    });
    m_waiting.push_back(std::move(request));
}

void authority_service::erase(connection_id connection)
{
    const auto matches = [connection](const waiting_request &item) {
        return item.connection == connection;
    };
    std::erase_if(m_waiting, matches);
    std::erase_if(m_covered, matches);
}

bool authority_service::markerDue(instant now) const
{
    return !m_waiting.empty() && !m_outstanding
           && (!m_lastMarker || now - *m_lastMarker >= markerInterval);
}

void authority_service::onMarkerSubmitted(instant now)
{
    m_lastMarker = now;
    m_outstanding = true;
    m_covered = std::exchange(m_waiting, {});
}

std::vector<authority_service::waiting_request> authority_service::takeCovered()
{
    m_outstanding = false;
    return std::exchange(m_covered, {});
}

authority_grant authority_service::makeGrant(const cell_state &cell, const waiting_request &waiting)
{
    const auto &held = waiting.request.held;
    authority_grant grant{ .nonce = waiting.request.nonce,
                           .nextOffset = cell.nextOffset(),
                           .withdrawn = {},
                           .unlisted = {} };
    for (const held_task &item : held) {
        if (const auto why = checkClaim(cell, waiting, item))
            grant.withdrawn.push_back({ item.task, item.attempt, *why });
    }
    for (const task_id &id : cell.tasksHeldBy(waiting.request.vm)) {
        const held_task item = { id, cell.findTask(id)->attempt };
        if (std::find(held.begin(), held.end(), item) == held.end())
            grant.unlisted.push_back({ item, cell.findJob(id.job)->description.authorityTermMs });
    }
    return grant;
}

} // namespace plantainpitch::detail
