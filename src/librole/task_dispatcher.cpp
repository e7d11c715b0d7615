#include "plantainpitch/role/task_dispatcher.h"

#include "task_dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

namespace {

// Revocation waits, retry delays and refusals expire without an event, so a placement pass runs at
// least this often.
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

/// Returns true if a task that did not fit on the VM before may fit now.
bool mayFitMoreTasks(const vm_info &before, const vm_info &after)
{
    return before.agentIncarnation != after.agentIncarnation
           || before.workerBoot != after.workerBoot || (before.draining && !after.draining)
           || !after.available.fitsIn(before.available) || !after.capacity.fitsIn(before.capacity);
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
    m_state->passNeeded = true;
}

void task_dispatcher::setTeamQuotas(const std::map<std::string, std::uint32_t> &quotas)
{
    m_state->teams.clear();
    for (const auto &[team, quota] : quotas)
        m_state->teams[team].quota = quota;
    m_state->passNeeded = true;
}

void task_dispatcher::onEntriesChanged(std::vector<std::string> names)
{
    m_state->entries = std::move(names);
    m_state->passNeeded = true;
}

void task_dispatcher::onVmUpdated(instant now, const vm_info &vm)
{
    (void)now;
    const vm_info *knownVm = m_state->vms.find(vm.vm);
    // With thousands of VMs, a pass per heartbeat would scan all tasks and VMs at each tick.
    // Changes that only affect the preference among VMs wait for the next regular pass.
    if (knownVm == nullptr || mayFitMoreTasks(*knownVm, vm))
        m_state->passNeeded = true;
    m_state->vms.update(vm, m_state->proposals.reservedOn(vm.vm));
}

void task_dispatcher::onVmUnreachable(instant now, const std::string &vm)
{
    m_state->vms.remove(now, vm);
    m_state->proposals.removeForVm(vm);
    m_state->passNeeded = true;
}

void task_dispatcher::onProposalRefused(instant now, connection_id from,
                                        const proposal_refused &refusal)
{
    const auto *proposal = m_state->proposals.find(refusal.task);
    const vm_info *vm = proposal == nullptr ? nullptr : m_state->vms.find(proposal->vm);
    if (vm == nullptr || vm->connection != from)
        return;
    const auto refused = m_state->proposals.refuse(now, refusal.task, refusal.base, refusal.reason);
    if (!refused)
        return;
    m_state->releaseResources(*refused);
    m_state->count("proposal_refusals_total", refusal.reason);
    m_state->passNeeded = true;
}

void task_dispatcher::onFolded(instant now, const cell_state &cell, const log_record &record,
                               const fold_result &result)
{
    if (!result.accepted)
        return;
    m_state->passNeeded = true;
    const auto task = taskOf(record);
    if (!task)
        return;
    const auto before = m_state->claims.update(now, cell, *task, true);
    const task_state *taskState = cell.findTask(*task);
    if (taskState != nullptr && taskState->phase == task_phase::revoking)
        m_state->revocations.add(now, *task, taskState->lastChange);
    else
        m_state->revocations.erase(*task);
    if (taskState != nullptr && taskState->lastChange == result.position)
        m_state->countTaskRecord(record);
    if (const auto *proposal = m_state->proposals.find(*task);
        proposal != nullptr && (taskState == nullptr || taskState->lastChange != proposal->base))
        m_state->proposals.remove(*task);
    const bool ended = taskState == nullptr || taskState->phase != task_phase::claimed;
    if (before && ended)
        m_state->onClaimEnded(now, *before, *task, record);
    if (taskState == nullptr || isFinal(taskState->phase))
        m_state->retries.erase(*task);
}

void task_dispatcher::onReset(instant now, const cell_state &cell)
{
    m_state->claims.rebuild(now, cell);
    m_state->revocations.clear();
    m_state->retries.removeClosedTasks(cell);
    for (const task_id &task : cell.unplacedTasks()) {
        const task_state *taskState = cell.findTask(task);
        if (taskState != nullptr && taskState->phase == task_phase::revoking)
            m_state->revocations.add(now, task, taskState->lastChange);
    }
    m_state->passNeeded = true;
}

void task_dispatcher::onRecordOutcome(instant now, const record_outcome &outcome)
{
    m_state->records.onOutcome(now, outcome);
}

void task_dispatcher::tick(instant now, const cell_state &cell, std::int64_t nowMs)
{
    for (const auto &[task, proposal] :
         m_state->proposals.expire(now, m_state->options.proposalTimeout)) {
        m_state->releaseResources(proposal);
        m_state->count("proposal_refusals_total", "timeout");
        m_state->passNeeded = true;
    }
    // Has its own timer: in a busy cell each tick runs a placement pass, so a check that shared the
    // timer of the passes would never become due.
    if (now >= m_state->lastLostVmCheck + passInterval) {
        m_state->lastLostVmCheck = now;
        m_state->revokeClaimsOfLostVms(now, cell);
    }
    const bool due = now >= m_state->lastPass + passInterval;
    // One pass handles all records that were folded since the last tick, e.g. a burst of
    // cancellations.
    if (m_state->passNeeded || due)
        m_state->runPlacementPass(now, cell, nowMs);
}

action_list task_dispatcher::takeActions()
{
    return std::exchange(m_state->actions, {});
}

} // namespace plantainpitch
