#include "plantainpitch/sched/agent.h"

#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/message_limits.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// A longer term is not one of this system: the runs of a silent worker would hardly ever move.
constexpr milliseconds maxTerm{ 60'000 };
/// A worker that lives answers the first question of an agent with a new owner within this time.
constexpr milliseconds firstConfirmationTimeout{ 1'500 };
/// A claim that is missing from all announcements of so many intervals is not the worker's.
constexpr int claimIntervals = 3;
/// Announcements are sent about once in an interval.
constexpr milliseconds claimMargin{ 500 };
/// The end of a connection may be read this much before an end that was announced ahead of it.
constexpr milliseconds announcedEndMargin{ 300 };

std::unique_ptr<run_ref> makeRunRef(const unanswered_starts::run_key &run)
{
    auto result = std::make_unique<run_ref>();
    result->task = run.first;
    result->run = run.second;
    return result;
}

} // namespace

agent::agent(agent_options options)
    : m_options(std::move(options))
    , m_claimValidity(claimIntervals * m_options.announcementInterval + claimMargin)
    , m_claims(m_claimValidity)
    , m_term(m_options.term)
{}

void agent::resetRuns()
{
    m_runs.clear();
    m_runsWhenSilent.clear();
    m_ends.clear();
    m_newEnds.clear();
    // The owner would take them for those of the next incarnation, which may execute a late start.
    m_refusals.clear();
    m_lastEnd = 0;
    m_endsNoted = 0;
    m_listingReceived = false;
    m_endsBeyondListing = false;
    m_workerFence = 0;
}

void agent::addServices(const std::set<std::string> &services)
{
    m_services.insert(services.begin(), services.end());
}

void agent::setEvacuations(const evacuation_list &list, instant now)
{
    if (m_evacuations && list.asOf < m_evacuations->asOf)
        return;
    const bool changed = !m_evacuations || m_evacuations->dataCentres != list.dataCentres;
    m_evacuations = list;
    if (!changed)
        return;
    m_reportDue = true;
    const duration sinceStart = m_firstTick ? now - *m_firstTick : duration::zero();
    log(log_level::info, "evacuations_known",
        { { "as_of", std::to_string(list.asOf) },
          { "data_centres", textOf(list) },
          { "own", isEvacuated() ? "yes" : "no" },
          { "since_start_ms",
            std::to_string(std::chrono::duration_cast<milliseconds>(sinceStart).count()) } });
}

/// Whether the worker is in an evacuated data centre.
bool agent::isEvacuated() const
{
    return m_evacuations && m_worker && m_evacuations->includes(m_worker->dataCentre);
}

void agent::workerAnnounced(const worker_announcement &announced, instant now)
{
    const worker_key key = announced.key();
    if (m_life && key == m_life->key()) {
        updateWorker(announced, now);
        return;
    }
    const bool isNew = m_candidates.add(announced, m_services, m_claimValidity, now);
    const bool answeredBefore = m_life && m_life->hasSuccessor() && key.id == m_life->key().id
                                && key.startMs == m_life->successorStartMs();
    if (answeredBefore) {
        adopt(*m_candidates.take(key), now);
        return;
    }
    if (isNew) {
        log(log_level::info, "worker_to_be_confirmed",
            { { "worker", key.id },
              { "start_ms", std::to_string(key.startMs) },
              { "service", announced.info.service },
              { "known", m_life ? m_life->key().id : "" },
              { "known_start_ms", std::to_string(m_life ? m_life->key().startMs : 0) } });
    }
}

void agent::updateWorker(const worker_announcement &announced, instant now)
{
    m_claims.add(announced.info, m_services, now);
    m_endAnnounced = false;
    const worker_info &info = m_claims.info();
    if (info != announced.info) {
        log(log_level::warning, "announcement_not_followed",
            { { "worker", info.id },
              { "sequence", std::to_string(announced.sequence) },
              { "service", announced.info.service },
              { "ready", announced.info.ready ? "yes" : "no" },
              { "capacity", textOf(capacityOf(announced.info)) } });
    }
    if (*m_worker == info)
        return;
    log(log_level::info, "worker_updated",
        { { "worker", info.id },
          { "sequence", std::to_string(announced.sequence) },
          { "service", info.service },
          { "ready", info.ready ? "yes" : "no" },
          { "capacity", textOf(capacityOf(info)) } });
    m_worker = info;
    m_workerReported = false;
    m_reportDue = true;
}

/// Takes an incarnation that the worker has confirmed as the known one. The worker runs one
/// incarnation at a time, so the last one is over.
void agent::adopt(const worker_candidates::candidate &confirmed, instant now)
{
    const worker_info &info = confirmed.claims.info();
    log(log_level::info, "worker_announced",
        { { "worker", info.id },
          { "start_ms", std::to_string(info.startMs) },
          { "service", info.service },
          { "replaces", m_worker ? m_worker->id : "" },
          { "replaced_start_ms", std::to_string(m_worker ? m_worker->startMs : 0) },
          { "runs_given_up", std::to_string(m_runs.size()) } });
    if (m_worker)
        recordCrash(now);
    resetRuns();
    m_worker = info;
    m_life = worker_life(confirmed.key);
    m_claims = confirmed.claims;
    m_endAnnounced = false;
    m_readyAtConnectionEnd.reset();
    m_lapseReportUs = 0;
    m_lapseReported = false;
    // Their questions were asked before this incarnation answered.
    m_candidates.clear();
    m_lastAlive = now;
    m_workerClockMs = 0; // until its next answer
    m_failedHolds = 0;
    m_notRunningReplies = 0;
    m_holdPending = false;
    ++m_holdNumber;
    m_nextHold = now;
    // A call to the last incarnation, or of an agent process before this one, may have granted a
    // lease just now.
    m_latestLeaseEnd = std::max(m_latestLeaseEnd, longestLeaseEnd(now));
    m_sentLeaseEnd = {};
    m_workerReported = false;
    m_reportDue = true;
    m_completeReportDue = true;
    stopUnansweredStarts(now);
}

void agent::workerLeft(const std::string &id, instant now)
{
    if (!m_life || m_life->key().id != id || m_life->isOver())
        return;
    log(log_level::info, "worker_leaving",
        { { "worker", id }, { "runs", std::to_string(m_runs.size()) } });
    m_claims.addEnd();
    m_endAnnounced = true;
    m_worker = m_claims.info();
    if (m_readyAtConnectionEnd && now - m_silentSince <= announcedEndMargin)
        m_readyAtConnectionEnd = false;
    m_workerReported = false;
    m_nextHold = now;
    m_reportDue = true;
}

bool agent::ownerOpened(const owner_hello &hello, instant now)
{
    if (hello.epoch < m_epoch)
        return false;
    if (hello.termMs == 0 || milliseconds(hello.termMs) > maxTerm) {
        log(log_level::error, "owner_rejected",
            { { "owner", hello.node }, { "term_ms", std::to_string(hello.termMs) } });
        return false;
    }
    log(log_level::info, "owner_connected",
        { { "owner", hello.node },
          { "epoch", std::to_string(hello.epoch) },
          { "runs", std::to_string(m_runs.size()) } });
    m_epoch = hello.epoch;
    m_term = milliseconds(hello.termMs);
    m_ownerConnected = true;
    m_ownerConnectedAt = now;
    m_workerReported = false;
    m_lapseReportUs = 0;
    m_lapseReported = false;
    m_ordersSeen = 0;
    m_completeReportDue = true;
    m_reportDue = true;
    m_crashesDue = true;
    m_newEnds.clear();
    m_adviceRequests.clear();
    m_advice.clear();
    for (const auto &[number, end] : m_ends)
        m_newEnds.push_back(end);
    for (auto &[key, state] : m_runs)
        state.checkpointDue = !state.checkpoint.empty();
    m_nextHold = now;
    return true;
}

void agent::ownerClosed(instant /*now*/)
{
    if (m_ownerConnected)
        log(log_level::warning, "owner_lost", { { "epoch", std::to_string(m_epoch) } });
    m_ownerConnected = false;
    m_lapseReportUs = 0;
    m_lapseReported = false;
}

bool agent::owesEndOfWorker() const
{
    return m_life && !m_lapseReported && (m_endAnnounced || !m_life->isAnswering());
}

void agent::onOrders(const agent_orders &orders, instant now)
{
    const instant sent{ duration(orders.grantedUs) };
    if (sent > now) // no report was sent then
        log(log_level::error, "grant_unreadable", { { "epoch", std::to_string(m_epoch) } });
    else if (orders.grantedUs != 0)
        m_authorityUntil = std::max(m_authorityUntil, sent + m_term);
    if (m_lapseReportUs != 0 && orders.grantedUs >= m_lapseReportUs)
        m_lapseReported = true;
    for (const auto &request : orders.questions)
        m_adviceRequests.push_back(*request);
    if (orders.number == 0)
        return;
    m_ordersSeen = orders.number;
    const bool sameIncarnation = m_worker && orders.workerStartMs == m_worker->startMs
                                 && (orders.worker.empty() || orders.worker == m_worker->id);
    // Its ends outlast its runs.
    if (sameIncarnation && orders.endsNoted > m_endsNoted) {
        m_endsNoted = orders.endsNoted;
        m_ends.erase(m_ends.begin(), m_ends.upper_bound(m_endsNoted));
    }
    const bool current = sameIncarnation && !m_life->isOver();
    for (const auto &stop : orders.stops) {
        if (current)
            stopRun({ stop->task, stop->run }, now);
    }
    // After the stops, which may add runs that an earlier agent process was told to start.
    for (const auto &description : orders.describes)
        describeRun(*description);
    for (const auto &start : orders.starts) {
        if (current)
            startRun(*start, now);
        else
            refuse({ start->task, start->run }, "worker_gone");
    }
}

void agent::describeRun(const start_order &description)
{
    const auto found = m_runs.find({ description.task, description.run });
    if (found == m_runs.end())
        return;
    run_state &state = found->second;
    state.targetMs = description.targetMs;
    state.fills = description.fills;
    state.disturbance = description.disturbance;
    state.described = true;
    // An owner of an earlier release does not tell what a run reserves.
    if (reservation(description) != resources{})
        state.reserved = reservation(description);
}

void agent::onAdvice(advice content)
{
    m_advice.push_back(std::move(content));
    m_reportDue = true;
}

void agent::refuse(const run_key &key, const std::string &reason)
{
    m_runs.erase(key);
    run_refusal refusal;
    refusal.task = key.first;
    refusal.run = key.second;
    refusal.reason = reason;
    m_refusals.push_back(std::move(refusal));
    m_reportDue = true;
}

void agent::tick(instant now)
{
    if (!m_firstTick)
        m_firstTick = now;
    m_candidates.removeExpired(now);
    m_unansweredStarts.removeExpired(now);
    if (m_epoch > 0)
        askCandidates(now);
    if (m_life && m_epoch > 0 && !m_life->hasSuccessor()) {
        if (!m_holdPending && now >= m_nextHold)
            sendHold(now);
        for (auto &[key, state] : m_runs) {
            if (state.phase == run_phase::stopping && !state.stopPending && now >= state.nextStop)
                sendStop(key, state, now);
        }
    }
    // No holds are sent to a restarted worker before its announcement, which may never come.
    const bool mayHaveRuns = m_life && (!m_life->isOver() || !m_runs.empty());
    if (mayHaveRuns && m_life->hasSuccessor() && leasesEnded(now))
        lapse("not_announced");
    if (m_ownerConnected && (m_reportDue || now - m_lastReport >= m_options.reportInterval))
        report(now);
}

/// Whether nothing runs beside this agent. This process has granted no lease, as it has known no
/// worker, and those of an earlier process, which ended before the first tick, are over.
bool agent::isVacant(instant now) const
{
    const auto term = std::max<duration>(m_term, m_options.term);
    const auto maxDrift = std::chrono::duration_cast<duration>(term * m_options.clockDrift);
    // A worker that has announced itself meanwhile may be about to list its ends.
    const bool mayAnswer =
            !m_candidates.empty() && now - m_ownerConnectedAt < firstConfirmationTimeout;
    return !m_life && !mayAnswer && m_firstTick
           && now - *m_firstTick > term + maxDrift + m_options.leaseMargin;
}

/// Moves ends to the report until it is full, in their order, and returns their size in bytes.
std::size_t agent::reportEnds(agent_report &content)
{
    std::size_t bytes = 0;
    auto each = m_newEnds.begin();
    for (; each != m_newEnds.end() && bytes < maxReportBytes; ++each) {
        bytes += endOverheadBytes + each->checkpoint.size();
        content.ended.push_back(std::make_unique<run_end>(std::move(*each)));
    }
    m_newEnds.erase(m_newEnds.begin(), each);
    return bytes;
}

void agent::report(instant now)
{
    agent_report content;
    m_reportDue = false;
    const std::size_t bytes = reportEnds(content);
    content.sentUs = now.time_since_epoch().count();
    content.ordersSeen = m_ordersSeen;
    content.responsive = m_life && m_life->isAnswering();
    // The owner takes the runs without a known end as lost.
    content.lapsed = m_life && m_life->isOver() && m_newEnds.empty();
    if (content.lapsed) {
        for (const auto &[key, state] : m_runs)
            content.unsettled.push_back(makeRunRef(key));
    }
    if (content.lapsed && m_runs.empty() && m_lapseReportUs == 0)
        m_lapseReportUs = content.sentUs;
    content.vacant = isVacant(now);
    content.workerFence = m_workerFence;
    content.leasedMs = leasedMs(now);
    content.evacuated = isEvacuated();
    content.listedUs = m_listedAt.time_since_epoch().count();
    if (m_worker && !m_workerReported) {
        content.worker = std::make_unique<worker_info>(*m_worker);
        m_workerReported = true;
    }
    for (run_refusal &refusal : m_refusals)
        content.refused.push_back(std::make_unique<run_refusal>(std::move(refusal)));
    m_refusals.clear();
    for (advice &each : m_advice)
        content.advised.push_back(std::make_unique<advice>(std::move(each)));
    m_advice.clear();
    if (std::exchange(m_crashesDue, false))
        content.crashes = m_crashes.reportable(now);
    // The running tasks are unknown before the first listing.
    const bool due =
            m_completeReportDue || now - m_lastComplete >= m_options.completeReportInterval;
    if (due && m_life && (m_listingReceived || m_life->isOver())) {
        m_completeReportDue = false;
        m_lastComplete = now;
        reportAllRuns(content, bytes, now);
    }
    m_reportDue = m_reportDue || !m_newEnds.empty();
    m_lastReport = now;
    m_reports.push_back(std::move(content));
}

std::unique_ptr<run_status> agent::statusOf(const run_key &key, const run_state &state,
                                            instant now) const
{
    auto status = std::make_unique<run_status>();
    status->task = key.first;
    status->run = key.second;
    status->percent = state.percent;
    status->usage = state.usage;
    // A call that was sent just now has no effect on the work that the report covers.
    const bool changing = state.pacePendingSince && *state.pacePendingSince < now;
    status->paceUnknown = changing || !state.confirmedPace;
    if (state.confirmedPace)
        status->pace = static_cast<std::uint8_t>(*state.confirmedPace);
    else if (state.fills)
        status->pace = static_cast<std::uint8_t>(m_pacing.percentOf(key.first));
    return status;
}

/// \a bytes: size of the ends in the report. Checkpoints that have no room follow in the next ones.
void agent::reportAllRuns(agent_report &content, std::size_t bytes, instant now)
{
    content.complete = true;
    for (auto &[key, state] : m_runs) {
        if (state.phase != run_phase::running || !state.listed) {
            content.starting.push_back(makeRunRef(key));
            continue;
        }
        content.running.push_back(statusOf(key, state, now));
        if (!state.checkpointDue)
            continue;
        if (bytes >= maxReportBytes) {
            m_reportDue = m_completeReportDue = true;
            continue;
        }
        bytes += state.checkpoint.size();
        content.running.back()->checkpoint = state.checkpoint;
        state.checkpointDue = false;
    }
    // Runs whose reported end the owner has not stored yet must not look missing.
    for (const auto &[number, end] : m_ends)
        content.starting.push_back(makeRunRef({ end.task, end.run }));
}

/// Returns the runs with their ages at the worker's last sign of life.
std::vector<crash_history::run> agent::runsAtLastSign() const
{
    std::vector<crash_history::run> runs;
    for (const auto &[key, state] : m_runs)
        runs.push_back(
                { .task = key.first, .number = key.second, .age = m_lastAlive - state.startedAt });
    return runs;
}

/// Records that the present incarnation has ended, unless it had no runs or had announced its end.
/// What is announced in its name after the end of its process is another writer's.
void agent::recordCrash(instant now)
{
    std::vector<crash_history::run> runs = m_life->isOver() ? m_runsWhenSilent : runsAtLastSign();
    m_runsWhenSilent.clear();
    if (runs.empty() || !m_readyAtConnectionEnd.value_or(m_worker->ready))
        return;
    const instant at = m_failedHolds > 0 ? m_silentSince : now;
    if (!m_crashes.add(m_worker->id, m_worker->startMs, std::move(runs), at))
        return;
    m_crashesDue = true;
    m_reportDue = true;
}

std::vector<worker_call> agent::takeCalls()
{
    return std::exchange(m_calls, {});
}

std::vector<advice_request> agent::takeAdviceRequests()
{
    return std::exchange(m_adviceRequests, {});
}

std::vector<agent_report> agent::takeReports()
{
    return std::exchange(m_reports, {});
}

std::vector<write_log> agent::takeLogLines()
{
    return std::exchange(m_logLines, {});
}

void agent::log(log_level level, const char *event,
                std::vector<std::pair<std::string, std::string>> fields)
{
    m_logLines.push_back({ level, event, std::move(fields) });
}

} // namespace plantainpitch::sched
