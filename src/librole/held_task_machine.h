#pragma once

#include "record_outbox.h"
#include "worker_link.h"

#include "plantainpitch/log/record/job_submitted.h"
#include "plantainpitch/log/record/release_reason.h"
#include "plantainpitch/role/message/task_proposal.h"
#include "plantainpitch/role/message/withdrawn_task.h"
#include "plantainpitch/role/task_holder.h"
#include "plantainpitch/role/worker/worker_task.h"

#include <cstdint>
#include <optional>
#include <string>

namespace plantainpitch {

/// State shared by the state machines of one task_holder.
struct holder_context
{
    const task_holder_options &options;
    action_list &actions;
    worker_link &worker;
    record_outbox &outbox;
    std::string workerBoot; ///< empty until the first list
    bool listRequested = false; ///< a state machine waits for the next list
};

/// State machine of one task on this VM, from the proposal to the settled release. It tracks the
/// state in the log (phase), the known state on the worker (view) and the desired state (intent).
/// At most one call to the worker is outstanding at a time.
///
/// A start whose answer is lost may reach the worker later. Every start carries an absolute lease
/// end in the worker's clock, and a worker refuses a start whose lease has expired. The claim is
/// therefore released only when the worker's clock, read by a list call made after the start,
/// is past the lease end of every unanswered start. After a reboot of the worker the same wait is
/// measured with the agent's clock. The platform has to ensure that the clock of a worker does not
/// go back when it reboots.
class held_task_machine
{
public:
    enum class phase {
        waiting, ///< waits for the end of a revoked authority before the claim
        claiming,
        adopting,
        verifying, ///< adoption refused; the next grant gives the reason
        held,
        closing, ///< release or result submitted to the log
        forgetting, ///< settled; the worker may still list the task
        done,
    };

    held_task_machine(holder_context &context, const task_proposal &proposal, instant now);
    /// Adopts a claim of an earlier agent process on this VM. \a term is zero if unknown.
    held_task_machine(holder_context &context, const held_task &claim, duration term,
                      const std::optional<worker_task> &listed, std::int64_t workerClockUs,
                      instant now);

    /// Handles the outcome of the submitted record. The caller matches the ticket.
    void onSettled(instant now, const record_settled &settled);
    /// The answer to an authority_request sent at \a sentAt confirmed this attempt.
    void onConfirmed(instant now, instant sentAt);
    /// The answer to an authority_request sent at \a sentAt withdrew this attempt.
    void onWithdrawn(instant now, instant sentAt, withdrawal why);
    void onWorkerAnswer(instant now, const worker_answer &answer);
    /// Handles the list returned by call \a callId, sent at \a sentAt. \a entry is the entry of
    /// this attempt, null if it is not listed.
    void onListed(std::uint64_t callId, instant sentAt, std::int64_t workerClockUs,
                  const worker_task *entry);
    [[nodiscard]] bool matches(const held_task &claim) const
    {
        return !m_attempt.isNone() && m_task == claim.task && m_attempt == claim.attempt;
    }
    void onNewBoot(instant now);
    /// Ends the task: checkpoint, stop, release. Later calls do not change the reason.
    void end(release_reason reason);
    void setThrottle(std::uint32_t percent) { m_wantedThrottle = percent; }
    void step(instant now);

    [[nodiscard]] phase currentPhase() const { return m_phase; }
    [[nodiscard]] const task_id &task() const { return m_task; }
    [[nodiscard]] log_position attempt() const { return m_attempt; }
    [[nodiscard]] duration term() const { return m_term; }
    [[nodiscard]] std::uint64_t ticket() const { return m_ticket; }
    [[nodiscard]] bool mayDropRecord() const { return m_phase == phase::claiming; }
    /// True while the task is running, starting or possibly running, or waits for its claim.
    [[nodiscard]] bool needsResources() const;

    /// True for an inherited claim of unknown size whose start may still reach the worker.
    [[nodiscard]] bool sizeUnknown() const
    {
        return m_adopted && needsResources() && !m_mayBeListed;
    }

private:
    enum class view { absent, uncertain, running, ended };
    enum class intent { run, pause, end };

    void onClaimSettled(instant now, const record_settled &settled);
    void onAdoptionSettled(instant now, const record_settled &settled);
    void onStartAnswer(instant now, const worker_answer &answer);
    void onStopAnswer(const worker_answer &answer);
    void awaitList();
    void endForEarlierBoot(instant now);
    void endByWithdrawal(instant now, withdrawal why);
    void onAbsent(instant sentAt);
    void updateIntent(instant now);
    void stepHeld(instant now);
    void stepRunning(instant now);
    void stepToStart(instant now);
    void stepToStop(instant now);
    void stepEnded(instant now);
    void submitOutcome(instant now);
    void stepForget(instant now);
    void submitClaim(instant now);
    void call(instant now, worker_operation operation, worker_call fields = {});
    [[nodiscard]] bool cannotRunAnymore(instant now) const;
    [[nodiscard]] instant authorityUntil() const { return m_authorityFrom + m_term; }
    [[nodiscard]] instant authorityAt(double ratio) const;

    holder_context &m_context;
    task_id m_task;
    std::optional<job_submitted> m_job; ///< none after an adoption
    duration m_term{};
    log_position m_base;
    log_position m_attempt;
    std::string m_claimBoot;
    std::string m_checkpoint;
    std::string m_result;

    phase m_phase = phase::waiting;
    view m_view = view::absent;
    intent m_intent = intent::run;
    release_reason m_endReason = release_reason::evicted;
    worker_task_state m_endedState = worker_task_state::stopped;
    bool m_claimLost = false; ///< the log withdrew the claim: write no record
    bool m_adopted = false;
    bool m_ofEarlierBoot = false; ///< inherited claim on an earlier boot of the worker
    bool m_mayBeListed = false; ///< a start was sent or the worker listed the task

    std::uint64_t m_ticket = 0;
    instant m_claimAt;
    instant m_settledAt;
    instant m_authorityFrom;

    std::uint64_t m_callId = 0; ///< outstanding call; 0: none
    worker_operation m_callOperation = worker_operation::list;
    instant m_nextCallAt;
    std::uint64_t m_viewCallId = 0; ///< lists of calls up to this id do not update the view
    std::int64_t m_startLeaseUs = 0; ///< lease end of the last start, worker clock
    std::int64_t m_lateStartUntilUs = 0; ///< lease end of unanswered starts; 0: none
    instant m_lateCallsExpireAt; ///< earlier calls may still reach the worker until then
    instant m_leaseFrom; ///< m_authorityFrom on which the worker's lease is based
    bool m_checkpointTried = false;
    std::uint32_t m_wantedThrottle = 0;
    std::uint32_t m_throttle = 0;
    std::uint32_t m_callThrottle = 0; ///< value sent with the outstanding call
    instant m_callAuthority; ///< m_authorityFrom on which the outstanding renewal is based
};

} // namespace plantainpitch
