#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/sched/crash_history.h"
#include "plantainpitch/sched/evacuation_list.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/pacing.h"
#include "plantainpitch/sched/resources.h"
#include "plantainpitch/sched/unanswered_starts.h"
#include "plantainpitch/sched/worker_announcement.h"
#include "plantainpitch/sched/worker_call.h"
#include "plantainpitch/sched/worker_candidates.h"
#include "plantainpitch/sched/worker_claims.h"
#include "plantainpitch/sched/worker_life.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::sched {

struct agent_options
{
    std::string node;
    duration term = std::chrono::milliseconds(5'500); ///< of a grant, unless the owner sets another
    double clockDrift = 0.02;
    /// The worker shortens longer leases to this.
    duration maxLease = std::chrono::milliseconds(6'000);
    duration reportInterval = std::chrono::milliseconds(500);
    duration completeReportInterval = std::chrono::seconds(1);
    duration stopRetryInterval = std::chrono::milliseconds(400);
    /// Nothing is started while the remaining lease is shorter than this.
    duration minLease = std::chrono::milliseconds(800);
    /// Safety margin added to every wait for the end of a lease.
    duration leaseMargin = std::chrono::milliseconds(400);
    /// Between two announcements of a worker.
    duration announcementInterval = std::chrono::milliseconds(1'500);
    /// After its start, the agent starts nothing for up to this time while it does not know which
    /// data centres are evacuated. Zero if the deployment has no evacuations.
    duration evacuationsTimeout{};
};

/// Runs the tasks of one VM on its worker: executes the owner's orders, renews leases as long as
/// the owner grants them, resolves starts whose answer was lost, and reports every end of a run
/// until the owner has stored it. Does no I/O and reads no clock.
class agent
{
public:
    explicit agent(agent_options options);

    /// Handles an announcement at this agent's address. An incarnation other than the known one
    /// becomes the known one when the worker confirms it.
    void workerAnnounced(const worker_announcement &announced, instant now);
    /// Handles an announced end of a worker. Its runs are taken as lost once it answers no more.
    void workerLeft(const std::string &id, instant now);
    /// Takes over the list unless it knows a newer one.
    void setEvacuations(const evacuation_list &list, instant now);
    /// Adds services that a configuration names.
    void addServices(const std::set<std::string> &services);

    /// Handles a new connection to an owner. Returns false if an owner of a later epoch is known.
    bool ownerOpened(const owner_hello &hello, instant now);
    void ownerClosed(instant now);
    void onOrders(const agent_orders &orders, instant now);
    void onReply(const worker_call &call, const worker_reply &reply, instant now);
    /// Must be called about every 100 ms.
    void tick(instant now);

    /// Handles the advice service's answer to a request, or its absence.
    void onAdvice(advice content);

    std::vector<worker_call> takeCalls();
    std::vector<advice_request> takeAdviceRequests();
    std::vector<agent_report> takeReports();
    std::vector<write_log> takeLogLines();

    [[nodiscard]] bool hasWorker() const { return m_worker.has_value(); }
    [[nodiscard]] std::size_t runs() const { return m_runs.size(); }
    /// Whether the worker ends, or has ended, and the present connection's owner has not been told
    /// that nothing runs on it. Its runs start elsewhere only once an owner knows this, or their
    /// leases have ended.
    [[nodiscard]] bool owesEndOfWorker() const;

private:
    enum class run_phase {
        starting, ///< the start call is pending
        running, ///< the start was accepted
        stopping, ///< to be stopped, or prevented from starting
        confirming_stop, ///< stop accepted; the next listing shows whether the run exists
    };
    struct run_state
    {
        run_phase phase = run_phase::starting;
        std::uint32_t targetMs = 0;
        bool fills = false;
        double disturbance = 0; ///< headroom that serving tasks lose because of it
        resources reserved; ///< nothing until it is known
        /// False for a run that an earlier agent process started, until the owner has told what it
        /// reserves.
        bool described = false;
        bool stopPending = false;
        /// Listed by the worker as running; until then it may be on another incarnation, or have
        /// ended.
        bool listed = false;
        instant nextStop{};
        /// Listings of earlier holds do not prove that the run is absent.
        std::uint64_t firstConclusiveHold = 0;
        std::string checkpoint;
        bool checkpointDue = false; ///< the owner of the present connection has not got it
        std::uint32_t percent = 0;
        std::uint32_t usage = 0;
        /// Pace that the worker has confirmed; none if it is not known.
        std::optional<std::uint32_t> confirmedPace = fullPace;
        std::optional<instant> pacePendingSince; ///< set while a pace call is on its way
        instant nextPace{}; ///< no pace call before
        /// Until then an unanswered pace call may still be carried out.
        instant paceUncertainUntil{};
        /// Sending of the start call; the first listing, if an earlier agent process sent it.
        instant startedAt{};
    };
    using run_key = unanswered_starts::run_key;

    void resetRuns();
    void updateWorker(const worker_announcement &announced, instant now);
    void adopt(const worker_candidates::candidate &confirmed, instant now);
    void describeRun(const start_order &description);
    void report(instant now);
    [[nodiscard]] bool isVacant(instant now) const;
    [[nodiscard]] std::size_t reportEnds(agent_report &content);
    void reportAllRuns(agent_report &content, std::size_t bytes, instant now);
    [[nodiscard]] std::unique_ptr<run_status> statusOf(const run_key &key, const run_state &state,
                                                       instant now) const;
    [[nodiscard]] std::vector<crash_history::run> runsAtLastSign() const;
    void recordCrash(instant now);
    void log(log_level level, const char *event,
             std::vector<std::pair<std::string, std::string>> fields);

    // agent_worker_calls.cpp: calls to the worker and handling of its replies
    [[nodiscard]] bool isEvacuated() const;
    [[nodiscard]] std::string evacuationObstacle(instant now) const;
    [[nodiscard]] bool fitsBesideRuns(const start_order &order);
    void startRun(const start_order &order, instant now);
    void stopRun(const run_key &key, instant now);
    void sendStop(const run_key &key, run_state &state, instant now);
    void refuse(const run_key &key, const std::string &reason);
    void askCandidates(instant now);
    void onIdentifyReply(const worker_call &call, const worker_reply &reply, instant now);
    void onStartReply(const worker_call &call, const worker_reply &reply, instant now);
    void onHoldReply(const worker_call &call, const worker_reply &reply, instant now);
    void onListing(const worker_listing &listing, std::uint64_t holdNumber, instant now);
    void processEnds(const worker_listing &listing);
    [[nodiscard]] bool isReportable(const std::string &checkpoint, const run_key &key);
    void updateRun(const run_key &key, const run_status &status, instant now);
    void onSuccessor(std::uint64_t startMs, instant now);
    void onUnreachable(const worker_reply &reply, instant now);
    [[nodiscard]] instant longestLeaseEnd(instant now) const;
    [[nodiscard]] std::uint32_t leasedMs(instant now) const;
    [[nodiscard]] bool leasesEnded(instant now) const;
    void lapse(const char *reason);
    void endProcess();
    void stopUnansweredStarts(instant now);
    void updatePaces(instant now);
    void sendPace(const run_key &key, run_state &state, instant now);
    void onPaceReply(const worker_call &call, const worker_reply &reply, instant now);
    void sendHold(instant now);
    [[nodiscard]] instant leaseEnd() const;
    [[nodiscard]] std::int64_t leaseUntil(instant now);
    [[nodiscard]] std::uint32_t holdWaitMs() const;
    void recordWorkerClock(std::int64_t clockMs, instant now);
    worker_call call(worker_call_kind kind) const;

    const agent_options m_options;
    const duration m_claimValidity;
    std::optional<instant> m_firstTick;
    std::optional<worker_info> m_worker; ///< what m_claims says of m_life
    std::optional<worker_life> m_life;
    worker_claims m_claims; ///< of the announcements of m_life
    std::set<std::string> m_services; ///< that configurations have named
    std::optional<evacuation_list> m_evacuations; ///< none is known yet
    worker_candidates m_candidates;
    bool m_workerReported = false; ///< on the current connection
    bool m_endAnnounced = false; ///< by the last announcement of m_life
    std::int64_t m_lapseReportUs = 0; ///< sending of the first such report on the connection
    bool m_lapseReported = false; ///< the owner of the connection has answered that report
    // By this process's clock.
    instant m_latestLeaseEnd{}; ///< of all leases that the worker may hold
    instant m_sentLeaseEnd{}; ///< of those that this process has sent to the incarnation
    /// Last sign of life of the current incarnation: a listing, or the end of a connection. Only
    /// listings name the incarnation that answers.
    instant m_lastAlive{};
    /// What the incarnation had announced when its connection ended; none if its silence, if any,
    /// began in another way.
    std::optional<bool> m_readyAtConnectionEnd;
    crash_history m_crashes;
    bool m_crashesDue = false; ///< a report is to name the crashes again
    /// Runs whose leases ended while the worker was silent. They are part of a crash if the
    /// incarnation turns out to have ended.
    std::vector<crash_history::run> m_runsWhenSilent;

    // Last reading of the worker's clock; its real clock is never behind this.
    std::int64_t m_workerClockMs = 0;
    instant m_workerClockAt{};

    std::uint64_t m_epoch = 0;
    bool m_ownerConnected = false;
    instant m_ownerConnectedAt{}; ///< of the last connection
    duration m_term;
    instant m_authorityUntil{};
    std::uint64_t m_ordersSeen = 0;

    /// Of a worker that has ended: those that its next incarnation may carry out.
    std::map<run_key, run_state> m_runs;
    unanswered_starts m_unansweredStarts; ///< to all incarnations
    std::map<std::uint64_t, run_end> m_ends; ///< not yet noted by the owner
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_endsNoted = 0;
    std::vector<run_end> m_newEnds; ///< not reported on the present connection
    std::vector<run_refusal> m_refusals;
    std::vector<advice> m_advice; ///< for the next report
    bool m_listingReceived = false; ///< from the current incarnation
    instant m_listedAt{}; ///< last listing of any incarnation
    bool m_endsBeyondListing = false; ///< the last listing may have left out ends
    std::uint64_t m_workerFence = 0; ///< epoch of the last hold that the incarnation has answered
    pacing m_pacing;

    std::uint64_t m_holdNumber = 0;
    bool m_holdPending = false;
    instant m_holdSentAt{};
    instant m_nextHold{};
    std::uint32_t m_failedHolds = 0;
    instant m_silentSince{}; ///< first of the failed holds
    std::uint32_t m_notRunningReplies = 0;

    bool m_reportDue = false;
    bool m_completeReportDue = false;
    instant m_lastReport{};
    instant m_lastComplete{};

    std::vector<worker_call> m_calls;
    std::vector<advice_request> m_adviceRequests;
    std::vector<agent_report> m_reports;
    std::vector<write_log> m_logLines;
};

} // namespace plantainpitch::sched
