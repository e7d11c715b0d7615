#include "authority_service.h"

#include <algorithm>

namespace plantainpitch::detail {

namespace {

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

void authority_service::add(std::uint64_t barrier, waiting_request request)
{
    erase(request.connection);
    m_waiting.emplace(barrier, std::move(request));
}

void authority_service::erase(connection_id connection)
{
    std::erase_if(m_waiting,
                  [connection](const auto &item) { return item.second.connection == connection; });
}

std::optional<authority_service::waiting_request> authority_service::take(std::uint64_t barrier)
{
    const auto node = m_waiting.extract(barrier);
    if (node.empty())
        return std::nullopt;
    return node.mapped();
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
