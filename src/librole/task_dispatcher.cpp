#include "plantainpitch/role/task_dispatcher.h"

#include "task_dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

namespace {

// Waits and memories end without an event; a pass looks for them this often.
constexpr duration passInterval = std::chrono::milliseconds(500);

std::optional<task_id> taskOf(const log_record &record)
{
    return std::visit(
            [](const auto &content) -> std::optional<task_id> {
                if constexpr (requires { content.task; })
                    return content.task;
                else
                    return std::nullopt;
            },
            record);
}

/// True if a task that found no room may find it on the VM now.
bool mayTakeMore(const vm_info &before, const vm_info &after)
{
    return before.agent != after.agent || before.workerBoot != after.workerBoot
           || (before.draining && !after.draining) || !after.available.fitsIn(before.available)
           || !after.capacity.fitsIn(before.capacity);
}

} // namespace

task_dispatcher::task_dispatcher(task_dispatcher_options options, std::uint64_t seed)
    : m_state(std::make_unique<state>(std::move(options), seed))
{}

task_dispatcher::~task_dispatcher() = default;

void task_dispatcher::setPolicies(std::unique_ptr<batch_order> order,
                                  std::unique_ptr<placement_policy> placement)
{
    m_state->order = std::move(order);
    m_state->placement = std::move(placement);
    m_state->dirty = true;
}

void task_dispatcher::setTeamQuotas(const std::map<std::string, std::uint32_t> &quotas)
{
    m_state->teams.clear();
    for (const auto &[team, quota] : quotas)
        m_state->teams[team].quota = quota;
    m_state->dirty = true;
}

void task_dispatcher::onEntries(std::vector<std::string> names)
{
    m_state->entries = std::move(names);
    m_state->dirty = true;
}

void task_dispatcher::onVm(instant now, const vm_info &vm)
{
    (void)now;
    const vm_info *known = m_state->vms.find(vm.vm);
    // Heartbeats of thousands of VMs would make each tick a pass over all tasks and VMs; what only
    // changes the order of preference waits for the next regular pass.
    if (known == nullptr || mayTakeMore(*known, vm))
        m_state->dirty = true;
    m_state->vms.update(vm, m_state->proposals.promisedTo(vm.vm));
}

void task_dispatcher::onVmGone(instant now, const std::string &vm)
{
    m_state->vms.remove(now, vm);
    m_state->proposals.removeForVm(vm);
    m_state->dirty = true;
}

void task_dispatcher::onProposalRefused(instant now, connection_id from,
                                        const proposal_refused &refusal)
{
    const auto *sent = m_state->proposals.find(refusal.task);
    const vm_info *vm = sent == nullptr ? nullptr : m_state->vms.find(sent->vm);
    if (vm == nullptr || vm->connection != from)
        return;
    const auto refused = m_state->proposals.refuse(now, refusal.task, refusal.base, refusal.reason);
    if (!refused)
        return;
    m_state->giveBack(*refused);
    m_state->count("proposal_refusals_total", refusal.reason);
    m_state->dirty = true;
}

void task_dispatcher::onFolded(instant now, const cell_state &cell, const log_record &record,
                               const fold_result &result)
{
    if (!result.accepted)
        return;
    m_state->dirty = true;
    const auto task = taskOf(record);
    if (!task)
        return;
    const auto before = m_state->claims.update(now, cell, *task, true);
    const task_state *known = cell.findTask(*task);
    if (known != nullptr && known->phase == task_phase::revoking)
        m_state->revocations.onRevoking(now, *task, known->lastChange);
    else
        m_state->revocations.erase(*task);
    if (known != nullptr && known->lastChange == result.position)
        m_state->countChange(record);
    if (const auto *sent = m_state->proposals.find(*task);
        sent != nullptr && (known == nullptr || known->lastChange != sent->base))
        m_state->proposals.remove(*task);
    const bool ended = known == nullptr || known->phase != task_phase::claimed;
    if (before && ended)
        m_state->onEndOfClaim(now, *before, *task, record);
    if (known == nullptr || isFinal(known->phase))
        m_state->retries.erase(*task);
}

void task_dispatcher::onReset(instant now, const cell_state &cell)
{
    m_state->claims.rebuild(now, cell);
    m_state->revocations.clear();
    m_state->retries.keepOpenTasks(cell);
    for (const task_id &task : cell.unplacedTasks()) {
        const task_state *known = cell.findTask(task);
        if (known != nullptr && known->phase == task_phase::revoking)
            m_state->revocations.onRevoking(now, task, known->lastChange);
    }
    m_state->dirty = true;
}

void task_dispatcher::onRecordOutcome(instant now, const record_outcome &outcome)
{
    m_state->records.onOutcome(now, outcome);
}

void task_dispatcher::tick(instant now, const cell_state &cell, std::int64_t nowMs)
{
    for (const auto &[task, sent] :
         m_state->proposals.expire(now, m_state->options.proposalTimeout)) {
        m_state->giveBack(sent);
        m_state->count("proposal_refusals_total", "timeout");
        m_state->dirty = true;
    }
    // Has a time of its own: in a busy cell each tick is a pass, and passes would put the check off
    // for ever.
    if (now >= m_state->lastLostCheck + passInterval) {
        m_state->lastLostCheck = now;
        m_state->revokeLost(now, cell);
    }
    const bool due = now >= m_state->lastPass + passInterval;
    // One pass covers everything that was folded since the last tick, e.g. a burst of
    // cancellations.
    if (m_state->dirty || due)
        m_state->pass(now, cell, nowMs);
}

action_list task_dispatcher::takeActions()
{
    return std::exchange(m_state->actions, {});
}

} // namespace plantainpitch
