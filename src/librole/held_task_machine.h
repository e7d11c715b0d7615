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

/// What the machines of one holder share.
struct holder_context
{
    const task_holder_options &options;
    action_list &actions;
    worker_link &worker;
    record_outbox &outbox;
    std::string workerBoot; ///< empty until the first list
    bool listSoon = false; ///< a machine waits for the next list
};

/// One task on this VM, from the proposal to the settled release. Keeps what the log says (phase),
/// what the worker is known to do (view) and what is wanted (intent), and takes one step at a
/// time: at most one call to the worker is outstanding.
///
/// A start whose answer is lost may reach the worker later. Every start carries an absolute lease
/// end in the worker's clock, and a worker refuses a start whose lease has passed, so the claim is
/// given back only when the worker's clock, read in a list that began after the start was sent,
/// is past the lease of every start that was not answered. After a new boot the same wait is
/// measured by the agent's own clock. That the clock of a worker does not go back when it boots
/// again is a requirement on the platform.
class held_task_machine
{
public:
    enum class phase {
        waiting, ///< the revocation wait before the claim
        claiming,
        adopting,
        verifying, ///< adoption refused; the next grant tells why
        held,
        closing, ///< release or result on its way to the log
        forgetting, ///< settled; the worker may still list the task
        done,
    };

    held_task_machine(holder_context &context, const task_proposal &proposal, instant now);
    /// Adopts a claim of an earlier agent process on this VM. \a term is zero if unknown.
    held_task_machine(holder_context &context, const held_task &claim, duration term,
                      const std::optional<worker_task> &listed, std::int64_t workerClockUs,
                      instant now);

    /// The log's verdict on the record with this ticket.
    void onSettled(instant now, const record_settled &settled);
    /// An authority_request sent at \a sentAt that named this attempt was answered.
    void onConfirmed(instant now, instant sentAt);
    /// The answer to an authority_request sent at \a sentAt withdrew this attempt.
    void onWithdrawn(instant now, instant sentAt, withdrawal why);
    void onWorkerAnswer(instant now, const worker_answer &answer);
    /// A list by the call \a callId, sent at \a sentAt. \a entry: this attempt, if listed.
    void onListed(std::uint64_t callId, instant sentAt, std::int64_t workerClockUs,
                  const worker_task *entry);
    [[nodiscard]] bool matches(const held_task &claim) const
    {
        return !m_attempt.isNone() && m_task == claim.task && m_attempt == claim.attempt;
    }
    void onNewBoot(instant now);
    /// Checkpoint, stop, release. The first reason stays.
    void end(release_reason reason);
    void setThrottle(std::uint32_t percent) { m_wantedThrottle = percent; }
    void step(instant now);

    [[nodiscard]] phase currentPhase() const { return m_phase; }
    [[nodiscard]] const task_id &task() const { return m_task; }
    [[nodiscard]] log_position attempt() const { return m_attempt; }
    [[nodiscard]] duration term() const { return m_term; }
    [[nodiscard]] std::uint64_t ticket() const { return m_ticket; }
    [[nodiscard]] bool mayDropRecord() const { return m_phase == phase::claiming; }
    /// True while the task runs, starts or may run, or is about to.
    [[nodiscard]] bool needsRoom() const;

    /// An inherited claim whose start may still reach the worker, of a size that is not known.
    [[nodiscard]] bool sizeUnknown() const { return m_adopted && needsRoom() && !m_mayBeListed; }

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
    void followAuthority(instant now);
    void stepHeld(instant now);
    void stepRunning(instant now);
    void stepToStart(instant now);
    void stepToStop(instant now);
    void stepEnded(instant now);
    void closeWith(instant now);
    void stepForget(instant now);
    void submitClaim(instant now);
    void call(instant now, worker_operation operation, worker_call fields = {});
    [[nodiscard]] bool quiet(instant now) const;
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
    bool m_withoutRecord = false; ///< the log has another holder: stop and forget only
    bool m_adopted = false;
    bool m_ofEarlierBoot = false; ///< inherited, of a worker process that has ended
    bool m_mayBeListed = false; ///< a start was sent or the worker listed the task

    std::uint64_t m_ticket = 0;
    instant m_claimAt;
    instant m_settledAt;
    instant m_authorityFrom;

    std::uint64_t m_callId = 0; ///< outstanding call; 0: none
    worker_operation m_callOperation = worker_operation::list;
    instant m_nextCallAt;
    std::uint64_t m_viewCallId = 0; ///< only lists by later calls tell something new
    std::int64_t m_startLeaseUs = 0; ///< lease of the last start
    std::int64_t m_lateStartUntilUs = 0; ///< a lost start may take effect until then; 0: none
    instant m_quietAt; ///< a call made before may still arrive until then
    instant m_leaseFrom; ///< m_authorityFrom of the worker's lease
    bool m_checkpointTried = false;
    std::uint32_t m_wantedThrottle = 0;
    std::uint32_t m_throttle = 0;
    std::uint32_t m_callThrottle = 0; ///< of the outstanding call
    instant m_callAuthority; ///< m_authorityFrom of the outstanding renewal
};

} // namespace plantainpitch
