#include "held_task_machine.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

held_task_machine::held_task_machine(holder_context &context, const held_task &claim, duration term,
                                     const std::optional<worker_task> &listed,
                                     std::int64_t workerClockUs, instant now)
    : m_context(context)
    , m_task(claim.task)
    , m_attempt(claim.attempt)
    , m_claimBoot(context.workerBoot)
    , m_phase(phase::adopting)
    , m_adopted(true)
    , m_authorityFrom(now)
{
    // A start that the earlier process sent may take effect until its lease has expired.
    const bool termKnown = term > duration::zero();
    m_term = term;
    m_lateCallsExpireAt =
            now
            + revocationWait(termKnown ? term : context.options.longestTerm,
                             context.options.clockDriftRatio, context.options.revocationMargin);
    if (listed) {
        // The earlier process never set a lease longer than the term, so the remaining lease is a
        // lower bound of the term.
        if (!termKnown)
            m_term = duration(std::max<std::int64_t>(listed->leaseUntilUs - workerClockUs, 0));
        m_mayBeListed = true;
        m_checkpoint = listed->checkpoint;
        m_result = listed->result;
        m_endedState = listed->state;
        m_view = listed->state == worker_task_state::running ? view::running : view::ended;
    }
    m_ticket = context.outbox.submit(now, task_adopted{ .task = m_task,
                                                        .attempt = m_attempt,
                                                        .vm = context.options.vm,
                                                        .agent = context.options.agent,
                                                        .workerBoot = m_claimBoot });
}

void held_task_machine::onSettled(instant now, const record_settled &settled)
{
    switch (m_phase) {
    case phase::claiming:
        onClaimSettled(now, settled);
        break;
    case phase::adopting:
        onAdoptionSettled(now, settled);
        break;
    case phase::closing:
        // A refusal means that the log already has a later owner or the same result.
        m_phase = phase::forgetting;
        break;
    default:
        return;
    }
    m_ticket = 0;
    step(now);
}

void held_task_machine::onClaimSettled(instant now, const record_settled &settled)
{
    (void)now;
    if (!settled.accepted) {
        m_phase = phase::done;
        return;
    }
    m_attempt = settled.position;
    m_phase = phase::held;
    if (m_claimBoot != m_context.workerBoot)
        end(release_reason::worker_rebooted);
}

void held_task_machine::onAdoptionSettled(instant now, const record_settled &settled)
{
    m_settledAt = now;
    if (!settled.accepted) {
        m_phase = phase::verifying;
        return;
    }
    m_phase = phase::held;
    if (m_claimBoot != m_context.workerBoot)
        end(release_reason::worker_rebooted);
    else if (m_view == view::absent)
        end(release_reason::authority_lapsed);
}

void held_task_machine::onConfirmed(instant now, instant sentAt)
{
    // An attempt goes from claimed to revoking and never back. A claim that is valid after its
    // adoption was refused was also valid at the refusal, so the boot id did not match: the claim
    // belongs to an earlier boot of the worker, whose tasks ended with it.
    if (m_phase == phase::verifying && sentAt > m_settledAt)
        endForEarlierBoot(now);
    m_authorityFrom = std::max(m_authorityFrom, sentAt);
}

void held_task_machine::endForEarlierBoot(instant now)
{
    m_phase = phase::held;
    m_lateCallsExpireAt = now;
    m_ofEarlierBoot = true;
    end(release_reason::worker_rebooted);
}

void held_task_machine::onWithdrawn(instant now, instant sentAt, withdrawal why)
{
    if (why == withdrawal::other_agent) {
        // The claim is still valid, see onConfirmed().
        if (m_phase == phase::verifying && sentAt > m_settledAt)
            endForEarlierBoot(now);
        if (m_ofEarlierBoot || m_phase == phase::adopting || m_phase == phase::verifying
            || m_phase == phase::closing) {
            step(now);
            return;
        }
        why = withdrawal::not_held;
    }
    switch (m_phase) {
    case phase::adopting:
    case phase::verifying:
        m_context.outbox.drop(m_ticket);
        m_ticket = 0;
        m_phase = phase::held;
        endByWithdrawal(now, why);
        break;
    case phase::held:
        endByWithdrawal(now, why);
        break;
    case phase::closing:
        if (why == withdrawal::not_held) {
            m_context.outbox.drop(m_ticket);
            m_ticket = 0;
            m_phase = phase::forgetting;
        }
        break;
    default:
        break;
    }
}

void held_task_machine::endByWithdrawal(instant now, withdrawal why)
{
    if (why == withdrawal::not_held)
        m_claimLost = true;
    end(why == withdrawal::cancelled ? release_reason::cancelled : release_reason::revoked);
    step(now);
}

void held_task_machine::onWorkerAnswer(instant now, const worker_answer &answer)
{
    if (answer.callId != m_callId)
        return;
    m_callId = 0;
    const bool ok = answer.result == worker_result::ok;
    if (ok)
        m_nextCallAt = now;
    if (ok && !answer.checkpoint.empty())
        m_checkpoint = answer.checkpoint;
    switch (m_callOperation) {
    case worker_operation::start:
        onStartAnswer(now, answer);
        break;
    case worker_operation::stop:
        onStopAnswer(answer);
        break;
    case worker_operation::renew:
        if (ok)
            m_leaseFrom = m_callAuthority;
        else if (answer.result == worker_result::rejected)
            awaitList();
        break;
    case worker_operation::throttle:
        if (ok)
            m_throttle = m_callThrottle;
        break;
    case worker_operation::forget:
        if (ok)
            m_phase = phase::done;
        break;
    default:
        break;
    }
    step(now);
}

void held_task_machine::onStartAnswer(instant now, const worker_answer &answer)
{
    (void)now;
    switch (answer.result) {
    case worker_result::ok:
        m_view = view::running;
        m_viewCallId = m_context.worker.lastCallId();
        m_context.actions.emplace_back(count_metric{ .name = "task_starts_total" });
        break;
    case worker_result::rejected:
        awaitList();
        end(release_reason::start_failed);
        break;
    case worker_result::no_answer:
        m_lateStartUntilUs = std::max(m_lateStartUntilUs, m_startLeaseUs);
        m_context.listRequested = true;
        break;
    }
}

// The answer to a stop does not show whether the task had already finished; the list does.
// Treating a finished task as stopped would run it again.
void held_task_machine::onStopAnswer(const worker_answer &answer)
{
    if (answer.result != worker_result::no_answer)
        awaitList();
    else
        m_context.listRequested = true;
}

void held_task_machine::awaitList()
{
    m_view = view::uncertain;
    m_viewCallId = m_context.worker.lastCallId();
    m_context.listRequested = true;
}

void held_task_machine::onListed(std::uint64_t callId, instant sentAt, std::int64_t workerClockUs,
                                 const worker_task *entry)
{
    const bool changing = m_callId != 0
                          && (m_callOperation == worker_operation::start
                              || m_callOperation == worker_operation::stop);
    // An attempt that finished or failed never runs again, so an older list is as valid as a newer
    // one. If the worker reboots before the next list, it is the only source of the result.
    const bool final = entry != nullptr
                       && (entry->state == worker_task_state::finished
                           || entry->state == worker_task_state::failed);
    if (!final && (changing || callId <= m_viewCallId))
        return;
    if (workerClockUs > m_lateStartUntilUs)
        m_lateStartUntilUs = 0;
    if (entry == nullptr) {
        onAbsent(sentAt);
        return;
    }
    m_mayBeListed = true;
    m_endedState = entry->state;
    if (!entry->checkpoint.empty())
        m_checkpoint = entry->checkpoint;
    m_result = entry->result;
    m_view = entry->state == worker_task_state::running ? view::running : view::ended;
}

void held_task_machine::onAbsent(instant sentAt)
{
    if (m_phase == phase::forgetting) {
        m_phase = phase::done;
        return;
    }
    if (m_view == view::ended)
        return;
    if (m_lateStartUntilUs != 0
        || (m_view == view::uncertain && sentAt < m_lateCallsExpireAt && !m_adopted))
        return;
    // The worker had started the task but no longer lists it.
    if (m_view == view::running)
        end(release_reason::start_failed);
    m_view = view::absent;
}

// Only a list shows the boot id, so starts since the last list may have reached the new boot,
// answered or not. A task that was never started is known to be absent; others need one more list.
void held_task_machine::onNewBoot(instant now)
{
    const bool startUnanswered = m_lateStartUntilUs != 0
                                 || (m_callId != 0 && m_callOperation == worker_operation::start);
    m_callId = 0;
    m_nextCallAt = now;
    m_lateStartUntilUs = 0;
    // A start that reached the new boot may take effect until its lease ends. The bound uses the
    // agent's clock, because the clock of the new boot may have been reset.
    m_lateCallsExpireAt =
            startUnanswered ? m_leaseFrom
                                      + revocationWait(m_term, m_context.options.clockDriftRatio,
                                                       m_context.options.revocationMargin)
                            : now;
    const bool resultKnown = m_view == view::ended
                             && (m_endedState == worker_task_state::finished
                                 || m_endedState == worker_task_state::failed);
    m_mayBeListed = startUnanswered || m_view != view::absent;
    if (m_mayBeListed && !resultKnown)
        awaitList();
    if (m_phase == phase::held)
        end(release_reason::worker_rebooted);
}

} // namespace plantainpitch
