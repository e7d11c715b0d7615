#include "plantainpitch/role/task_holder.h"

#include "task_holder_state.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

task_holder::task_holder(task_holder_options options, std::uint64_t seed)
    : m_state(std::make_unique<state>(std::move(options), seed))
{}

task_holder::~task_holder() = default;

void task_holder::onGateway(instant now, connection_id gateway)
{
    m_state->outbox.setGateway(now, gateway);
    if (gateway != 0)
        m_state->requestAuthority(now);
}

void task_holder::onProposal(instant now, connection_id from, const task_proposal &proposal)
{
    const char *refusal = m_state->refusalReason(proposal);
    if (refusal == nullptr && !m_state->ledger.reserve(proposal.task, proposal.job.taskResources))
        refusal = "no_room";
    if (refusal != nullptr) {
        m_state->refuse(from, proposal, refusal);
        return;
    }
    m_state->machines.try_emplace(proposal.task, m_state->context, proposal, now);
}

void task_holder::onRecordSettled(instant now, const record_settled &settled)
{
    const auto owner = std::find_if(
            m_state->machines.begin(), m_state->machines.end(),
            [&](const auto &entry) { return entry.second.ticket() == settled.ticket; });
    if (owner == m_state->machines.end())
        return;
    const auto submissionState =
            m_state->outbox.onSettled(now, settled, owner->second.mayDropRecord());
    if (submissionState == record_outbox::submission_state::settled
        || submissionState == record_outbox::submission_state::not_appended)
        owner->second.onSettled(now, settled);
    if (owner->second.currentPhase() == held_task_machine::phase::verifying)
        m_state->authority.makeDue();
    m_state->releaseReservations();
}

void task_holder::onAuthorityGrant(instant now, const authority_grant &grant)
{
    const auto request = m_state->authority.take(grant);
    if (!request)
        return;
    for (const held_task &claim : request->held) {
        const auto found = m_state->machines.find(claim.task);
        if (found == m_state->machines.end() || !found->second.matches(claim))
            continue;
        const auto withdrawn = std::find_if(
                grant.withdrawn.begin(), grant.withdrawn.end(), [&](const withdrawn_task &entry) {
                    return entry.task == claim.task && entry.attempt == claim.attempt;
                });
        if (withdrawn == grant.withdrawn.end())
            found->second.onConfirmed(now, request->sentAt);
        else
            found->second.onWithdrawn(now, request->sentAt, withdrawn->reason);
    }
    // Before the first list the boot id and the running tasks are unknown; a later grant lists the
    // same claims again.
    if (!m_state->context.workerBoot.empty()) {
        m_state->adoptUnlisted(now, grant);
        m_state->orphans.onNoClaims(request->sentAt);
        m_state->inheritedClaimsKnown = true;
    }
    m_state->stepAll(now);
}

void task_holder::onWorkerAnswer(instant now, const worker_answer &answer)
{
    const auto call = m_state->worker.take(now, answer);
    if (!call) {
        m_state->count("worker_answers_late_total");
        return;
    }
    m_state->onAnswer(now, answer, *call);
    m_state->stepAll(now);
    m_state->requestList(now);
}

void task_holder::evict(instant now, const task_id &task)
{
    const auto found = m_state->machines.find(task);
    if (found == m_state->machines.end())
        return;
    found->second.end(release_reason::evicted);
    m_state->stepAll(now);
}

void task_holder::throttle(instant now, std::uint32_t percent)
{
    m_state->throttlePercent = std::min(percent, 100U);
    m_state->stepAll(now);
}

void task_holder::tick(instant now)
{
    for (const worker_answer &answer : m_state->worker.expire(now)) {
        if (const auto call = m_state->worker.take(now, answer))
            m_state->onAnswer(now, answer, *call);
    }
    m_state->outbox.tick(now);
    if (m_state->outbox.gateway() != 0 && m_state->authority.due(now, m_state->shortestTerm()))
        m_state->requestAuthority(now);
    m_state->stepAll(now);
    m_state->requestList(now);
}

void task_holder::drain(instant now)
{
    m_state->draining = true;
    for (auto &[task, machine] : m_state->machines)
        machine.end(release_reason::drained);
    m_state->stepAll(now);
}

bool task_holder::drained() const
{
    return m_state->draining && m_state->machines.empty();
}

resources task_holder::capacity() const
{
    return m_state->ledger.capacity();
}

resources task_holder::available() const
{
    return m_state->draining ? resources{} : m_state->ledger.available();
}

std::string task_holder::workerBoot() const
{
    return m_state->context.workerBoot;
}

std::string task_holder::rack() const
{
    return m_state->rack;
}

std::size_t task_holder::taskCount() const
{
    return m_state->machines.size();
}

action_list task_holder::takeActions()
{
    return std::exchange(m_state->actions, {});
}

} // namespace plantainpitch
