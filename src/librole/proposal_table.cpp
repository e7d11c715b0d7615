#include "proposal_table.h"

#include <chrono>

namespace plantainpitch {

namespace {

// Long enough to try other VMs first, short enough to retry a VM that has free resources again.
constexpr duration refusalRetention = std::chrono::seconds(2);

} // namespace

void proposal_table::add(const task_id &task, proposal newProposal)
{
    remove(task);
    m_byVm[newProposal.vm][task] = newProposal.taskResources;
    m_proposals.emplace(task, std::move(newProposal));
}

const proposal_table::proposal *proposal_table::find(const task_id &task) const
{
    const auto found = m_proposals.find(task);
    return found == m_proposals.end() ? nullptr : &found->second;
}

std::optional<proposal_table::proposal> proposal_table::remove(const task_id &task)
{
    const auto found = m_proposals.find(task);
    if (found == m_proposals.end())
        return std::nullopt;
    proposal removed = std::move(found->second);
    m_proposals.erase(found);
    const auto onVm = m_byVm.find(removed.vm);
    onVm->second.erase(task);
    if (onVm->second.empty())
        m_byVm.erase(onVm);
    return removed;
}

std::optional<proposal_table::proposal> proposal_table::refuse(instant now, const task_id &task,
                                                               log_position base,
                                                               const std::string &reason)
{
    const proposal *outstanding = find(task);
    if (outstanding == nullptr || outstanding->base != base)
        return std::nullopt;
    m_refusals[std::pair(task, outstanding->vm)] = { .expiresAt = now + refusalRetention,
                                                     .reason = reason };
    return remove(task);
}

std::vector<std::pair<task_id, proposal_table::proposal>> proposal_table::expire(instant now,
                                                                                 duration timeout)
{
    removeExpiredRefusals(now);
    std::vector<std::pair<task_id, proposal>> expired;
    for (const auto &[task, sent] : m_proposals) {
        if (now >= sent.sentAt + timeout)
            expired.emplace_back(task, sent);
    }
    for (const auto &[task, sent] : expired)
        refuse(now, task, sent.base, "timeout");
    return expired;
}

std::vector<task_id> proposal_table::removeForVm(const std::string &vm)
{
    std::vector<task_id> tasks;
    if (const auto onVm = m_byVm.find(vm); onVm != m_byVm.end()) {
        for (const auto &[task, taskResources] : onVm->second)
            tasks.push_back(task);
    }
    for (const task_id &task : tasks)
        remove(task);
    return tasks;
}

bool proposal_table::wasRecentlyRefused(instant now, const task_id &task,
                                        const std::string &vm) const
{
    const auto found = m_refusals.find(std::pair(task, vm));
    return found != m_refusals.end() && now < found->second.expiresAt;
}

std::string proposal_table::lastRefusal(const task_id &task) const
{
    std::string reason;
    instant latest{ duration::min() };
    for (auto it = m_refusals.lower_bound(std::pair(task, std::string()));
         it != m_refusals.end() && it->first.first == task; ++it) {
        if (it->second.expiresAt > latest) {
            latest = it->second.expiresAt;
            reason = it->second.reason;
        }
    }
    return reason;
}

std::size_t proposal_table::outstandingOn(const std::string &vm) const
{
    const auto onVm = m_byVm.find(vm);
    return onVm == m_byVm.end() ? 0 : onVm->second.size();
}

resources proposal_table::reservedOn(const std::string &vm) const
{
    resources sum;
    if (const auto onVm = m_byVm.find(vm); onVm != m_byVm.end()) {
        for (const auto &[task, taskResources] : onVm->second)
            sum = sum + taskResources;
    }
    return sum;
}

void proposal_table::removeExpiredRefusals(instant now)
{
    std::erase_if(m_refusals, [&](const auto &entry) { return now >= entry.second.expiresAt; });
}

} // namespace plantainpitch
