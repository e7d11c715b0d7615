#include "held_task_machine.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

namespace {

// Delay after a failed or unanswered call, so that a broken worker is not called on every tick.
constexpr duration callBackoff = std::chrono::milliseconds(200);

} // namespace

held_task_machine::held_task_machine(holder_context &context, const task_proposal &proposal,
                                     instant now)
    : m_context(context)
    , m_task(proposal.task)
    , m_job(proposal.job)
    , m_term(std::chrono::milliseconds(proposal.job.authorityTermMs))
    , m_base(proposal.base)
    , m_checkpoint(proposal.checkpoint)
    , m_claimAt(now)
{
    if (proposal.afterRevocation) {
        const duration wait = revocationWait(m_term, context.options.clockDriftRatio,
                                             context.options.revocationMargin);
        const duration age(std::max<std::int64_t>(proposal.revocationAgeUs, 0));
        m_claimAt = now + std::max(wait - age, duration::zero());
    }
    step(now);
}

bool held_task_machine::needsResources() const
{
    return m_phase != phase::closing && m_phase != phase::forgetting && m_phase != phase::done;
}

instant held_task_machine::authorityAt(double ratio) const
{
    return m_authorityFrom
           + duration(static_cast<std::int64_t>(static_cast<double>(m_term.count()) * ratio));
}

void held_task_machine::end(release_reason reason)
{
    if (m_phase == phase::waiting)
        m_phase = phase::done;
    if (m_intent == intent::end)
        return;
    m_intent = intent::end;
    m_endReason = reason;
}

bool held_task_machine::cannotRunAnymore(instant now) const
{
    // The worker does not restart an attempt that finished or failed.
    if (m_view == view::ended
        && (m_endedState == worker_task_state::finished
            || m_endedState == worker_task_state::failed))
        return true;
    return (m_view == view::absent || m_view == view::ended) && m_lateStartUntilUs == 0
           && now >= m_lateCallsExpireAt;
}

void held_task_machine::step(instant now)
{
    if (m_callId != 0 || now < m_nextCallAt)
        return;
    switch (m_phase) {
    case phase::waiting:
        if (now >= m_claimAt)
            submitClaim(now);
        break;
    case phase::held:
        updateIntent(now);
        stepHeld(now);
        break;
    case phase::forgetting:
        stepForget(now);
        break;
    case phase::claiming:
    case phase::adopting:
    case phase::verifying:
    case phase::closing:
    case phase::done:
        break;
    }
}

// Without confirmation the claim may have been revoked, so the task has to stop before its
// authority ends. The claim itself is kept, because it may still be valid.
void held_task_machine::updateIntent(instant now)
{
    if (m_intent == intent::end)
        return;
    const task_holder_options &options = m_context.options;
    if (now >= authorityAt(options.stopAtRatio)) {
        // An adopted task cannot be restarted, because the job's command is not known.
        if (m_adopted)
            end(release_reason::authority_lapsed);
        else
            m_intent = intent::pause;
    } else if (now < authorityAt(options.checkpointAtRatio)) {
        m_intent = intent::run;
        m_checkpointTried = false;
    }
}

void held_task_machine::stepHeld(instant now)
{
    const bool wantsRun = m_intent == intent::run;
    switch (m_view) {
    case view::uncertain: // resolved by the next list
        break;
    case view::running:
        if (wantsRun)
            stepRunning(now);
        else
            stepToStop(now);
        break;
    case view::ended:
        stepEnded(now);
        break;
    case view::absent:
        if (wantsRun)
            stepToStart(now);
        else if (m_intent == intent::end)
            submitOutcome(now);
        break;
    }
}

void held_task_machine::stepRunning(instant now)
{
    if (m_authorityFrom > m_leaseFrom && m_context.worker.lease().ready()) {
        m_callAuthority = m_authorityFrom;
        call(now, worker_operation::renew,
             { .leaseUntilUs = m_context.worker.lease().leaseUntilUs(authorityUntil()) });
    } else if (now >= authorityAt(m_context.options.checkpointAtRatio) && !m_checkpointTried) {
        m_checkpointTried = true;
        call(now, worker_operation::checkpoint);
    } else if (m_throttle != m_wantedThrottle) {
        m_callThrottle = m_wantedThrottle;
        call(now, worker_operation::throttle, { .throttlePercent = m_wantedThrottle });
    }
}

void held_task_machine::stepToStart(instant now)
{
    const lease_calculator &lease = m_context.worker.lease();
    if (m_adopted || !lease.ready() || now >= authorityAt(m_context.options.checkpointAtRatio))
        return;
    m_startLeaseUs = lease.leaseUntilUs(authorityUntil());
    m_leaseFrom = m_authorityFrom;
    m_throttle = 0;
    m_mayBeListed = true;
    m_view = view::uncertain;
    call(now, worker_operation::start,
         { .reserved = m_job->taskResources,
           .leaseUntilUs = m_startLeaseUs,
           .checkpoint = m_checkpoint,
           .command = m_job->command });
    m_viewCallId = m_callId;
}

void held_task_machine::stepToStop(instant now)
{
    const bool checkpointFirst =
            m_intent == intent::end && !m_checkpointTried
            && (m_endReason == release_reason::evicted || m_endReason == release_reason::drained);
    if (checkpointFirst) {
        m_checkpointTried = true;
        call(now, worker_operation::checkpoint);
    } else {
        call(now, worker_operation::stop);
    }
}

void held_task_machine::stepEnded(instant now)
{
    const bool final = m_endedState == worker_task_state::finished
                       || m_endedState == worker_task_state::failed;
    if (final || m_intent == intent::end)
        submitOutcome(now);
    else if (m_intent == intent::run && !m_adopted)
        stepToStart(now);
    else if (m_adopted)
        end(release_reason::authority_lapsed);
}

void held_task_machine::submitOutcome(instant now)
{
    if (!cannotRunAnymore(now))
        return;
    if (m_claimLost) {
        m_phase = phase::forgetting;
        return;
    }
    const bool ended = m_view == view::ended;
    log_record record;
    if (ended && m_endedState == worker_task_state::finished) {
        record = task_finished{ .task = m_task, .attempt = m_attempt, .result = m_result };
    } else {
        const bool failed = ended && m_endedState == worker_task_state::failed;
        const bool cancelled = m_intent == intent::end && m_endReason == release_reason::cancelled;
        const auto reason = failed && !cancelled ? release_reason::task_failed : m_endReason;
        record = task_released{
            .task = m_task, .attempt = m_attempt, .checkpoint = m_checkpoint, .reason = reason
        };
    }
    m_phase = phase::closing;
    m_ticket = m_context.outbox.submit(now, std::move(record));
}

void held_task_machine::stepForget(instant now)
{
    if (!m_mayBeListed)
        m_phase = phase::done;
    else if (m_view == view::running)
        call(now, worker_operation::stop);
    else if (m_lateStartUntilUs == 0
             && now >= m_lateCallsExpireAt) // a late start could restart a forgotten attempt
        call(now, worker_operation::forget);
}

void held_task_machine::submitClaim(instant now)
{
    m_phase = phase::claiming;
    m_claimBoot = m_context.workerBoot;
    // A revocation of this claim follows it in the log, so no entry can read one before now. The
    // first authority term therefore starts when the claim is submitted.
    m_authorityFrom = now;
    m_ticket = m_context.outbox.submit(now, task_claimed{ .task = m_task,
                                                          .vm = m_context.options.vm,
                                                          .agent = m_context.options.agent,
                                                          .workerBoot = m_claimBoot,
                                                          .base = m_base });
}

void held_task_machine::call(instant now, worker_operation operation, worker_call fields)
{
    fields.operation = operation;
    fields.task = m_task;
    fields.attempt = m_attempt;
    m_callOperation = operation;
    m_nextCallAt = now + callBackoff;
    m_callId = m_context.worker.send(now, std::move(fields));
}

} // namespace plantainpitch
