#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/pacing.h"
#include "plantainpitch/sched/worker_call.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::sched {

struct agent_options
{
    std::string node;
    duration term = std::chrono::milliseconds(5'500); ///< of a grant; the owner may name another
    double clockDrift = 0.02;
    duration reportInterval = std::chrono::milliseconds(500);
    duration completeReportInterval = std::chrono::seconds(1);
    duration stopRetryInterval = std::chrono::milliseconds(400);
    /// Without a valid lease of at least this much, nothing is started.
    duration shortestLease = std::chrono::milliseconds(800);
    /// Added to every wait for the end of a lease.
    duration leaseMargin = std::chrono::milliseconds(400);
};

/// Runs the tasks of one VM on its worker: carries out the owner's orders, keeps leases as long as
/// the owner grants them, settles starts whose answer was lost, and reports every end until the
/// owner has stored it. It has no sockets and no clock.
class agent
{
public:
    explicit agent(agent_options options);

    /// The worker has announced itself; \a clockMs is its clock. Returns false if the announcement
    /// is older than what is known.
    bool workerAnnounced(const worker_info &info, std::int64_t clockMs, instant now);
    /// The worker has ended and runs nothing.
    void workerLeft(const std::string &id, instant now);

    /// A connection to an owner is open. Returns false if a later owner is known.
    bool ownerOpened(const owner_hello &hello, instant now);
    void ownerClosed(instant now);
    void onOrders(const agent_orders &orders, instant now);
    void onReply(const worker_call &call, const worker_reply &reply, instant now);
    /// To be called every 100 ms or so.
    void tick(instant now);

    /// The advice service's answer to a request, or that there was none.
    void onAdvice(advice content);

    std::vector<worker_call> takeCalls();
    std::vector<advice_request> takeAdviceRequests();
    std::vector<agent_report> takeReports();
    std::vector<write_log> takeLogLines();

    [[nodiscard]] bool hasWorker() const { return m_worker.has_value(); }
    [[nodiscard]] std::size_t runs() const { return m_runs.size(); }

private:
    enum class run_phase {
        starting, ///< the start is on its way
        running, ///< started
        stopping, ///< to be stopped, or kept from starting
        settling, ///< the stop is answered; the next listing shows whether the run exists
    };
    struct run_state
    {
        run_phase phase = run_phase::starting;
        std::uint32_t targetMs = 0;
        bool fills = false;
        double disturbance = 0; ///< headroom that serving tasks lose by it
        bool stopOnItsWay = false;
        bool listed = false; ///< by the worker; until then it may run on another incarnation
        instant nextStop{};
        /// Listings that were asked for before this one do not prove the absence of the run.
        std::uint64_t provedByHold = 0;
        std::string checkpoint;
        std::uint32_t percent = 0;
        std::uint32_t usage = 0;
    };
    using run_key = std::pair<std::string, std::uint32_t>; ///< task, run

    void forgetRuns();
    void report(instant now);
    void reportAllRuns(agent_report &content) const;
    void log(log_level level, const char *event,
             std::vector<std::pair<std::string, std::string>> fields);

    // agent_worker_calls.cpp: calls to the worker and its answers
    void startRun(const start_order &order, instant now);
    void stopRun(const run_key &key, instant now);
    void callStop(const run_key &key, run_state &state, instant now);
    void refuse(const run_key &key, const std::string &reason);
    void onStartReply(const worker_call &call, const worker_reply &reply, instant now);
    void onHoldReply(const worker_call &call, const worker_reply &reply, instant now);
    void onListing(const worker_listing &listing, std::uint64_t holdNumber, instant now);
    void takeEnds(const worker_listing &listing);
    void takeStatus(const run_key &key, const run_status &status);
    void awaitAnnouncement(std::uint64_t startMs);
    void onUnreachable(const worker_reply &reply, instant now);
    void pace(instant now);
    void hold(instant now);
    [[nodiscard]] std::int64_t leaseUntil(instant now);
    [[nodiscard]] std::uint32_t holdWaitMs() const;
    void takeClock(std::int64_t clockMs, instant now);
    worker_call call(worker_call_kind kind) const;

    const agent_options m_options;
    std::optional<worker_info> m_worker;
    bool m_workerReported = false; ///< on the present connection
    /// Start of an incarnation that has answered and not announced itself yet; 0: none.
    std::uint64_t m_unannounced = 0;
    bool m_responsive = false;
    bool m_lapsed = false;
    instant m_leasedUntil{}; ///< the latest end of a lease, this process's clock

    // Worker's clock at some instant; never ahead of the truth.
    std::int64_t m_workerClockMs = 0;
    instant m_workerClockAt{};

    std::uint64_t m_epoch = 0;
    bool m_ownerConnected = false;
    duration m_term;
    instant m_authorityUntil{};
    std::uint64_t m_ordersSeen = 0;

    std::map<run_key, run_state> m_runs;
    std::map<std::uint64_t, run_end> m_ends; ///< not yet noted by the owner
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_endsNoted = 0;
    std::vector<run_end> m_newEnds;
    std::vector<run_refusal> m_refusals;
    std::vector<advice> m_advice; ///< for the next report
    bool m_listed = false; ///< a listing of this incarnation was read
    pacing m_pacing;

    std::uint64_t m_holdNumber = 0;
    bool m_holdOnItsWay = false;
    instant m_nextHold{};
    std::uint32_t m_failedHolds = 0;
    std::uint32_t m_notRunning = 0;

    bool m_reportNow = false;
    bool m_completeNow = false;
    instant m_lastReport{};
    instant m_lastComplete{};

    std::vector<worker_call> m_calls;
    std::vector<advice_request> m_adviceRequests;
    std::vector<agent_report> m_reports;
    std::vector<write_log> m_logLines;
};

} // namespace plantainpitch::sched
