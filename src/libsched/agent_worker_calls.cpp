#include "plantainpitch/sched/agent.h"

#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/message_limits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// The worker counts as lost after this many consecutive connections refused.
constexpr std::uint32_t notRunningRepliesUntilLost = 2;
constexpr milliseconds holdRetryInterval{ 150 };
/// Maximum time that the worker waits for the end of a run before it answers a hold. Its latency
/// figures cover half a second. A start does not end the wait, so a new run is listed only after
/// it.
constexpr std::uint32_t maxHoldWaitMs = 500;
/// A hold without answer after its wait and this time has timed out.
constexpr milliseconds connectionEndMargin{ 300 };
/// Pause before an unanswered pace call is repeated.
constexpr milliseconds paceRetryInterval{ 1'000 };
/// Reason of an answer that another worker gave.
const std::string workerGoneReason = "worker_gone";

} // namespace

worker_call agent::call(worker_call_kind kind) const
{
    worker_call result;
    result.kind = kind;
    result.workerId = m_worker ? m_worker->id : std::string();
    result.workerStartMs = m_worker ? m_worker->startMs : 0;
    result.fence = m_epoch;
    return result;
}

/// Whether the run fits beside all runs that may be on the worker, those being stopped included.
/// The owner may have planned it on a capacity that has shrunk since.
bool agent::fitsBesideRuns(const start_order &order)
{
    const resources needed = reservation(order);
    resources available = capacityOf(*m_worker);
    for (const auto &[key, state] : m_runs)
        available = available - state.reserved;
    if (needed.fitsWhereNeeded(available))
        return true;
    log(log_level::warning, "start_exceeds_capacity",
        { { "task", order.task },
          { "run", std::to_string(order.run) },
          { "needs", textOf(needed) },
          { "free", textOf(available) } });
    return false;
}

/// Returns why evacuations keep tasks from being started now; empty if they do not. The owner may
/// not have read the operators' newest records, or may have ordered the start before it did.
std::string agent::evacuationObstacle(instant now) const
{
    if (isEvacuated())
        return "evacuated";
    const bool mayStillBeRead = !m_firstTick || now - *m_firstTick < m_options.evacuationsTimeout;
    return !m_evacuations && mayStillBeRead && m_options.evacuationsTimeout > duration::zero()
                   ? "evacuations_unknown"
                   : "";
}

void agent::startRun(const start_order &order, instant now)
{
    const run_key key{ order.task, order.run };
    if (m_runs.count(key) > 0)
        return;
    if (!m_worker->ready || m_life->hasSuccessor()) {
        refuse(key, m_life->hasSuccessor() ? workerGoneReason : "draining");
        return;
    }
    if (const std::string obstacle = evacuationObstacle(now); !obstacle.empty()) {
        refuse(key, obstacle);
        return;
    }
    if (leaseEnd() - now < m_options.minLease || m_workerClockMs == 0) {
        refuse(key, "no_grant");
        return;
    }
    // What they reserve is unknown, and the owner may have planned this start on a capacity that
    // has shrunk since.
    const bool undescribed = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        return entry.second.listed && !entry.second.described;
    });
    if (undescribed) {
        refuse(key, "undescribed_runs");
        return;
    }
    if (!fitsBesideRuns(order)) {
        refuse(key, "room");
        return;
    }
    run_state state;
    state.reserved = reservation(order);
    state.described = true;
    state.targetMs = order.targetMs;
    state.fills = order.fills;
    state.disturbance = order.disturbance;
    state.checkpoint = order.checkpoint;
    state.startedAt = now;
    m_runs[key] = state;
    m_unansweredStarts.sent(key, m_worker->id, now);
    worker_call start = call(worker_call_kind::start);
    start.task = order.task;
    start.run = order.run;
    start.payload = order.payload;
    start.checkpoint = order.checkpoint;
    start.ticket = order.ticket;
    start.leaseUntilMs = leaseUntil(now);
    m_calls.push_back(std::move(start));
}

void agent::sendStop(const run_key &key, run_state &state, instant now)
{
    state.phase = run_phase::stopping;
    state.stopPending = true;
    state.nextStop = now + m_options.stopRetryInterval;
    worker_call stop = call(worker_call_kind::stop);
    stop.task = key.first;
    stop.run = key.second;
    m_calls.push_back(std::move(stop));
}

void agent::stopRun(const run_key &key, instant now)
{
    // The order is already answered by an end that the owner has not stored yet.
    const bool ended = std::any_of(m_ends.begin(), m_ends.end(), [&key](const auto &entry) {
        return entry.second.task == key.first && entry.second.run == key.second;
    });
    if (ended)
        return;
    run_state &state = m_runs[key];
    if (!state.stopPending && state.phase != run_phase::confirming_stop)
        sendStop(key, state, now);
}

void agent::recordWorkerClock(std::int64_t clockMs, instant now)
{
    if (clockMs <= 0)
        return;
    // The worker read its clock before the answer arrived, so its clock is now at least this.
    m_workerClockMs = clockMs;
    m_workerClockAt = now;
}

/// Each call without an answer may have extended the lease. If starts that follow did so too, a
/// silent worker would keep its runs for ever, so they repeat the lease that was sent last.
instant agent::leaseEnd() const
{
    return m_failedHolds > 0 ? std::min(m_authorityUntil, m_sentLeaseEnd) : m_authorityUntil;
}

std::int64_t agent::leaseUntil(instant now)
{
    const instant end = std::min(leaseEnd(), now + m_options.maxLease);
    if (m_workerClockMs == 0 || end <= now)
        return 0;
    const double minClockRate = 1 - m_options.clockDrift;
    const std::chrono::duration<double, std::milli> sinceReading = now - m_workerClockAt;
    const std::chrono::duration<double, std::milli> remaining = end - now;
    m_sentLeaseEnd = std::max(m_sentLeaseEnd, end);
    m_latestLeaseEnd = std::max(m_latestLeaseEnd, end);
    return m_workerClockMs
           + static_cast<std::int64_t>(minClockRate * (sinceReading.count() + remaining.count()));
}

std::uint32_t agent::holdWaitMs() const
{
    const bool confirmingStop = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        return entry.second.phase == run_phase::confirming_stop;
    });
    // The lease is extended only after an answer, so a failed hold is followed by a short one.
    return confirmingStop || !m_listingReceived || m_failedHolds > 0 ? 0 : maxHoldWaitMs;
}

void agent::sendHold(instant now)
{
    worker_call holdCall = call(worker_call_kind::hold);
    holdCall.number = ++m_holdNumber;
    // After a failure a new incarnation may answer, which would discard its own ends up to this
    // number.
    holdCall.endsNoted = m_failedHolds > 0 ? 0 : m_endsNoted;
    holdCall.waitMs = holdWaitMs();
    // The new incarnation would also take the lease, which is a time on the clock of the last one,
    // for one of the longest span.
    holdCall.leaseUntilMs = m_failedHolds > 0 ? 0 : leaseUntil(now);
    m_holdPending = true;
    m_holdSentAt = now;
    m_calls.push_back(std::move(holdCall));
}

void agent::askCandidates(instant now)
{
    for (const worker_candidates::question &each : m_candidates.takeQuestions(now)) {
        worker_call identify = call(worker_call_kind::identify);
        identify.number = each.number;
        identify.workerId = each.workerId;
        m_calls.push_back(std::move(identify));
    }
}

/// Decides on an announced incarnation by what the worker at this agent's address answers.
void agent::onIdentifyReply(const worker_call &call, const worker_reply &reply, instant now)
{
    const auto candidate = m_candidates.find(call.number);
    if (!candidate)
        return;
    // A worker that has named its start before does not lack one.
    const bool answered = reply.kind == worker_reply_kind::accepted && reply.listing
                          && (reply.listing->startMs != 0 || !m_life || m_life->key().startMs == 0);
    const bool anotherWorker =
            reply.kind == worker_reply_kind::refused && reply.reason == workerGoneReason;
    if (!answered && !anotherWorker) {
        m_candidates.onInconclusiveAnswer(call.number, now);
        return;
    }
    if (anotherWorker || reply.listing->startMs != candidate->key.startMs) {
        log(log_level::warning, "announcement_not_confirmed",
            { { "worker", candidate->key.id },
              { "start_ms", std::to_string(candidate->key.startMs) },
              { "answer", anotherWorker ? workerGoneReason : "other_incarnation" },
              { "answered_start_ms", std::to_string(answered ? reply.listing->startMs : 0) },
              { "known", m_life ? m_life->key().id : "" } });
        m_candidates.take(candidate->key);
        return;
    }
    adopt(*candidate, now);
    recordWorkerClock(reply.clockMs, now);
    m_workerFence = call.fence;
    onListing(*reply.listing, m_holdNumber, now);
}

void agent::onReply(const worker_call &call, const worker_reply &reply, instant now)
{
    if (call.kind == worker_call_kind::identify) {
        onIdentifyReply(call, reply, now);
        return;
    }
    if (call.kind == worker_call_kind::start) {
        if (reply.kind == worker_reply_kind::unanswered)
            m_unansweredStarts.failed({ call.task, call.run }, m_holdNumber);
        else
            m_unansweredStarts.settle({ call.task, call.run });
    }
    const bool sentToKnown =
            m_worker && call.workerId == m_worker->id && call.workerStartMs == m_worker->startMs;
    if (!sentToKnown)
        return;
    switch (call.kind) {
    case worker_call_kind::start:
        onStartReply(call, reply, now);
        break;
    case worker_call_kind::stop: {
        const auto found = m_runs.find({ call.task, call.run });
        if (found == m_runs.end())
            break;
        found->second.stopPending = false;
        if (reply.kind == worker_reply_kind::accepted) {
            m_unansweredStarts.stopAnswered({ call.task, call.run });
            found->second.phase = run_phase::confirming_stop;
            found->second.firstConclusiveHold = m_holdNumber + 1;
        }
        break;
    }
    case worker_call_kind::hold:
        onHoldReply(call, reply, now);
        break;
    case worker_call_kind::pace:
        onPaceReply(call, reply, now);
        break;
    case worker_call_kind::identify: // see above
        break;
    }
}

void agent::onStartReply(const worker_call &call, const worker_reply &reply, instant now)
{
    const run_key key{ call.task, call.run };
    const auto found = m_runs.find(key);
    if (found == m_runs.end())
        return;
    if (reply.kind == worker_reply_kind::refused || reply.kind == worker_reply_kind::not_running) {
        refuse(key, reply.reason);
        return;
    }
    if (found->second.phase != run_phase::starting)
        return;
    if (reply.kind == worker_reply_kind::accepted) {
        found->second.phase = run_phase::running;
        found->second.firstConclusiveHold = m_holdNumber + 1;
        return;
    }
    log(log_level::warning, "start_unanswered",
        { { "task", call.task }, { "run", std::to_string(call.run) } });
    sendStop(key, found->second, now);
}

void agent::onHoldReply(const worker_call &call, const worker_reply &reply, instant now)
{
    if (call.number != m_holdNumber)
        return; // of an earlier incarnation
    m_holdPending = false;
    const bool listed = reply.kind == worker_reply_kind::accepted && reply.listing;
    const bool namesIncarnation =
            listed && (reply.listing->startMs != 0 || m_life->key().startMs == 0);
    if (listed && !namesIncarnation)
        log(log_level::error, "listing_without_incarnation", { { "worker", m_worker->id } });
    if (!namesIncarnation) {
        onUnreachable(reply, now);
        m_nextHold = now + holdRetryInterval;
        return;
    }
    const worker_listing &listing = *reply.listing;
    if (listing.startMs != m_life->key().startMs)
        onSuccessor(listing.startMs, now);
    recordWorkerClock(reply.clockMs, now);
    m_failedHolds = 0;
    m_readyAtConnectionEnd.reset();
    m_notRunningReplies = 0;
    if (m_life->hasSuccessor())
        return;
    m_lastAlive = now;
    m_workerFence = std::max(m_workerFence, call.fence);
    m_runsWhenSilent.clear();
    m_unansweredStarts.holdAnswered(call.number);
    if (!m_life->isAnswering()) {
        m_life = m_life->answered();
        m_lapseReportUs = 0;
        m_lapseReported = false;
        m_reportDue = true;
        m_completeReportDue = true;
    }
    m_nextHold = now;
    onListing(listing, m_holdNumber, now);
}

/// Handles the answer of another incarnation under the id of the known one. Until it announces
/// itself, its capacity is unknown.
void agent::onSuccessor(std::uint64_t startMs, instant now)
{
    log(log_level::info, "worker_restarted",
        { { "worker", m_worker->id }, { "start_ms", std::to_string(startMs) } });
    recordCrash(now);
    // A start or hold that was sent to the last incarnation may have reached this one just now.
    m_latestLeaseEnd = std::max(m_latestLeaseEnd, longestLeaseEnd(now));
    m_life = m_life->succeededBy(startMs);
    m_reportDue = true;
    stopUnansweredStarts(now);
    if (const auto announced = m_candidates.take({ .id = m_worker->id, .startMs = startMs }))
        adopt(*announced, now);
}

void agent::onUnreachable(const worker_reply &reply, instant now)
{
    if (m_failedHolds == 0) {
        m_silentSince = now;
        m_readyAtConnectionEnd.reset();
        // A hold that fails before its time-out ends with the worker's process.
        if (now - m_holdSentAt < milliseconds(maxHoldWaitMs) + connectionEndMargin) {
            m_lastAlive = now;
            m_readyAtConnectionEnd = m_worker->ready;
        }
    }
    ++m_failedHolds;
    m_notRunningReplies =
            reply.kind == worker_reply_kind::not_running ? m_notRunningReplies + 1 : 0;
    if (m_life->isAnswering()) {
        m_life = m_life->unanswered();
        m_reportDue = true;
        log(log_level::warning, "worker_unresponsive", { { "worker", m_worker->id } });
    }
    const bool processEnded = m_notRunningReplies >= notRunningRepliesUntilLost;
    if (processEnded)
        recordCrash(now);
    if (m_life->isOver()) {
        if (!m_runs.empty() && leasesEnded(now))
            lapse("leases_ended");
        return;
    }
    if (!leasesEnded(now) && !processEnded)
        return;
    if (!processEnded)
        m_runsWhenSilent = runsAtLastSign();
    if (leasesEnded(now))
        lapse("leases_ended");
    else
        endProcess();
}

/// End of the longest lease that a call may have given the worker just now. A time on the clock of
/// an earlier incarnation may be far ahead on the present one's, and is shortened to the maximum.
instant agent::longestLeaseEnd(instant now) const
{
    return now + std::max(m_term, m_options.maxLease);
}

/// How long a lease of the worker may last if that is longer than a grant, which the owner knows.
std::uint32_t agent::leasedMs(instant now) const
{
    using std::chrono::ceil;
    const auto left = ceil<milliseconds>(m_latestLeaseEnd - now);
    return m_life && left > m_term ? static_cast<std::uint32_t>(left.count()) : 0;
}

/// Whether no lease that this process knows of can still be valid.
bool agent::leasesEnded(instant now) const
{
    const auto longest = std::max(m_term, m_options.maxLease);
    const auto maxDrift = std::chrono::duration_cast<duration>(longest * m_options.clockDrift);
    return now > m_latestLeaseEnd + maxDrift + m_options.leaseMargin;
}

/// Reports that none of the runs exists any more.
void agent::lapse(const char *reason)
{
    log(log_level::warning, "worker_lost",
        { { "worker", m_worker->id },
          { "runs", std::to_string(m_runs.size()) },
          { "reason", reason } });
    m_life = m_life->ended();
    m_runs.clear();
    m_reportDue = true;
}

/// Reports that none of the runs exists any more, but for delayed starts, which the next
/// incarnation may carry out. These are kept until it has been told to stop them, or for as long
/// as a lease.
void agent::endProcess()
{
    const std::size_t known = m_runs.size();
    std::erase_if(m_runs,
                  [this](const auto &entry) { return !m_unansweredStarts.isDelayed(entry.first); });
    log(log_level::warning, "worker_lost",
        { { "worker", m_worker->id },
          { "runs", std::to_string(known) },
          { "delayed_starts", std::to_string(m_runs.size()) },
          { "reason", "not_running" } });
    m_life = m_life->ended();
    m_reportDue = true;
    m_completeReportDue = m_completeReportDue || !m_runs.empty();
}

/// Has a new incarnation refuse the starts that were sent to those before it.
void agent::stopUnansweredStarts(instant now)
{
    for (const run_key &key : m_unansweredStarts.sentTo(m_worker->id)) {
        log(log_level::info, "unanswered_start_stopped",
            { { "task", key.first },
              { "run", std::to_string(key.second) },
              { "worker", m_worker->id },
              { "start_ms", std::to_string(m_worker->startMs) } });
        sendStop(key, m_runs[key], now);
    }
}

void agent::onListing(const worker_listing &listing, std::uint64_t holdNumber, instant now)
{
    m_listedAt = now;
    if (!std::exchange(m_listingReceived, true)) {
        m_completeReportDue = true;
        m_reportDue = true;
    }
    processEnds(listing);
    if (std::exchange(m_endsBeyondListing, listing.mayHaveMoreEnds) != listing.mayHaveMoreEnds) {
        log(log_level::info, listing.mayHaveMoreEnds ? "ends_beyond_listing" : "all_ends_listed",
            { { "worker", m_worker->id },
              { "ends", std::to_string(listing.ended.size()) },
              { "runs", std::to_string(m_runs.size()) } });
    }
    std::set<run_key> running;
    std::size_t adopted = 0;
    for (const run_status &status : listing.running) {
        const run_key key{ status.task, status.run };
        adopted += m_runs.count(key) > 0 ? 0 : 1;
        running.insert(key);
        updateRun(key, status, now);
    }
    if (adopted > 0) {
        log(log_level::info, "runs_adopted",
            { { "worker", m_worker->id },
              { "runs", std::to_string(adopted) },
              { "of", std::to_string(listing.running.size()) } });
    }
    std::vector<run_key> absent;
    for (auto &[key, state] : m_runs) {
        const bool listed = running.count(key) > 0;
        // The run may have ended, and its end may be one of those that are not listed yet.
        const bool mayHaveEnded = !listed && listing.mayHaveMoreEnds;
        if (mayHaveEnded)
            state.listed = false;
        const bool conclusive = !mayHaveEnded && state.firstConclusiveHold > 0
                                && holdNumber >= state.firstConclusiveHold;
        if (!listed && conclusive
            && (state.phase == run_phase::confirming_stop || state.phase == run_phase::running))
            absent.push_back(key);
        // Repeat the stop if the run has not ended after the retry interval.
        if (listed && state.phase == run_phase::confirming_stop && now >= state.nextStop)
            state.phase = run_phase::stopping;
    }
    for (const run_key &key : absent)
        refuse(key, "not_there");
    updatePaces(now);
}

void agent::processEnds(const worker_listing &listing)
{
    for (const run_end &end : listing.ended) {
        m_runs.erase({ end.task, end.run });
        m_unansweredStarts.settle({ end.task, end.run });
        if (end.number <= m_lastEnd || end.number <= m_endsNoted)
            continue;
        m_lastEnd = end.number;
        run_end &added = m_ends[end.number] = end;
        if (!isReportable(added.checkpoint, { added.task, added.run }))
            added.checkpoint.clear();
        m_newEnds.push_back(added);
        m_reportDue = true;
    }
}

/// Whether the checkpoint is short enough to be reported; the task otherwise resumes from an
/// earlier one.
bool agent::isReportable(const std::string &checkpoint, const run_key &key)
{
    if (checkpoint.size() <= maxReportedCheckpointBytes)
        return true;
    log(log_level::error, "checkpoint_not_reported",
        { { "task", key.first },
          { "run", std::to_string(key.second) },
          { "bytes", std::to_string(checkpoint.size()) },
          { "accepted", std::to_string(maxReportedCheckpointBytes) } });
    return false;
}

void agent::updateRun(const run_key &key, const run_status &status, instant now)
{
    const bool known = m_runs.count(key) > 0;
    m_unansweredStarts.settle(key);
    run_state &state = m_runs[key];
    if (!known) {
        state.phase = run_phase::running;
        state.firstConclusiveHold = m_holdNumber + 1;
        state.startedAt = now;
        state.confirmedPace.reset(); // an earlier agent process may have paced the run
        m_completeReportDue = true;
        m_reportDue = true;
    }
    state.listed = true;
    if (!status.checkpoint.empty() && status.checkpoint != state.checkpoint
        && isReportable(status.checkpoint, key)) {
        state.checkpoint = status.checkpoint;
        state.checkpointDue = true;
    }
    state.percent = status.percent;
    state.usage = status.usage;
}

void agent::updatePaces(instant now)
{
    std::vector<paced_task> tasks;
    for (const auto &[key, state] : m_runs) {
        if (state.phase != run_phase::running)
            continue;
        if (state.targetMs > 0 || state.fills)
            tasks.push_back({ .task = key.first,
                              .fills = state.fills,
                              .disturbance = state.disturbance,
                              .targetMs = state.targetMs,
                              .usage = state.usage });
    }
    m_pacing.update(tasks, now);
    for (auto &[key, state] : m_runs) {
        if (!state.fills || state.phase != run_phase::running || state.pacePendingSince)
            continue;
        const bool changed = state.confirmedPace != m_pacing.percentOf(key.first);
        const bool due = (changed && state.confirmedPace) || now >= state.nextPace;
        if (due && (changed || now < state.paceUncertainUntil))
            sendPace(key, state, now);
    }
}

void agent::sendPace(const run_key &key, run_state &state, instant now)
{
    state.pacePendingSince = now;
    state.nextPace = now + paceRetryInterval;
    worker_call paceCall = call(worker_call_kind::pace);
    paceCall.task = key.first;
    paceCall.run = key.second;
    paceCall.percent = m_pacing.percentOf(key.first);
    // Not for each change of pace: those of confirmed paces are many.
    if (!state.confirmedPace) {
        log(log_level::info, "pace_sent",
            { { "task", key.first },
              { "run", std::to_string(key.second) },
              { "percent", std::to_string(paceCall.percent) },
              { "before", "unknown" } });
    }
    m_calls.push_back(std::move(paceCall));
}

void agent::onPaceReply(const worker_call &call, const worker_reply &reply, instant now)
{
    const auto found = m_runs.find({ call.task, call.run });
    if (found == m_runs.end())
        return;
    run_state &state = found->second;
    state.pacePendingSince.reset();
    if (reply.kind == worker_reply_kind::accepted) {
        state.confirmedPace = call.percent;
        return;
    }
    state.confirmedPace.reset();
    log(log_level::warning, "pace_not_confirmed",
        { { "task", call.task },
          { "run", std::to_string(call.run) },
          { "percent", std::to_string(call.percent) },
          { "reason", reply.kind == worker_reply_kind::unanswered ? "unanswered" : "refused" } });
    if (reply.kind == worker_reply_kind::unanswered)
        state.paceUncertainUntil = now + lateCallWindow;
}

} // namespace plantainpitch::sched
