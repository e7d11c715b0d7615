#include "plantainpitch/sched/agent.h"

#include <algorithm>
#include <set>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// A port without a listener seen that often in a row: the worker's process is gone.
constexpr std::uint32_t notRunningProof = 2;
constexpr milliseconds holdRetryInterval{ 150 };
/// How long the worker may wait for an end before it answers. Its figures cover half a second, and
/// a start does not end the wait: what has just started is not listed before.
constexpr std::uint32_t longestWaitMs = 500;

} // namespace

worker_call agent::call(worker_call_kind kind) const
{
    worker_call result;
    result.kind = kind;
    result.workerId = m_worker ? m_worker->id : std::string();
    result.fence = m_epoch;
    return result;
}

void agent::startRun(const start_order &order, instant now)
{
    const run_key key{ order.task, order.run };
    if (m_runs.count(key) > 0)
        return;
    if (!m_worker->ready || m_unannounced != 0) {
        refuse(key, m_unannounced != 0 ? "worker_gone" : "draining");
        return;
    }
    if (m_authorityUntil - now < m_options.shortestLease || m_workerClockMs == 0) {
        refuse(key, "no_grant");
        return;
    }
    run_state state;
    state.targetMs = order.targetMs;
    state.fills = order.fills;
    state.disturbance = order.disturbance;
    state.checkpoint = order.checkpoint;
    m_runs[key] = state;
    worker_call start = call(worker_call_kind::start);
    start.task = order.task;
    start.run = order.run;
    start.payload = order.payload;
    start.checkpoint = order.checkpoint;
    start.ticket = order.ticket;
    start.leaseUntilMs = leaseUntil(now);
    m_calls.push_back(std::move(start));
}

void agent::callStop(const run_key &key, run_state &state, instant now)
{
    state.phase = run_phase::stopping;
    state.stopOnItsWay = true;
    state.nextStop = now + m_options.stopRetryInterval;
    worker_call stop = call(worker_call_kind::stop);
    stop.task = key.first;
    stop.run = key.second;
    m_calls.push_back(std::move(stop));
}

void agent::stopRun(const run_key &key, instant now)
{
    // An end that is still to be noted answers the order.
    const bool ended = std::any_of(m_ends.begin(), m_ends.end(), [&key](const auto &entry) {
        return entry.second.task == key.first && entry.second.run == key.second;
    });
    if (ended)
        return;
    run_state &state = m_runs[key];
    if (!state.stopOnItsWay && state.phase != run_phase::settling)
        callStop(key, state, now);
}

void agent::takeClock(std::int64_t clockMs, instant now)
{
    if (clockMs <= 0)
        return;
    // The worker read its clock before the answer arrived, so its clock is not behind this.
    m_workerClockMs = clockMs;
    m_workerClockAt = now;
}

std::int64_t agent::leaseUntil(instant now)
{
    if (m_workerClockMs == 0 || m_authorityUntil <= now)
        return 0;
    const double slowest = 1 - m_options.clockDrift;
    const std::chrono::duration<double, std::milli> sinceReading = now - m_workerClockAt;
    const std::chrono::duration<double, std::milli> remaining = m_authorityUntil - now;
    m_leasedUntil = std::max(m_leasedUntil, m_authorityUntil);
    return m_workerClockMs
           + static_cast<std::int64_t>(slowest * (sinceReading.count() + remaining.count()));
}

std::uint32_t agent::holdWaitMs() const
{
    const bool settling = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        return entry.second.phase == run_phase::settling;
    });
    return settling || !m_listed ? 0 : longestWaitMs;
}

void agent::hold(instant now)
{
    worker_call look = call(worker_call_kind::hold);
    look.number = ++m_holdNumber;
    // After a failure, another incarnation may answer, which would forget its own ends up to there.
    look.endsNoted = m_failedHolds > 0 ? 0 : m_endsNoted;
    look.waitMs = holdWaitMs();
    look.leaseUntilMs = leaseUntil(now);
    m_holdOnItsWay = true;
    m_calls.push_back(std::move(look));
}

void agent::onReply(const worker_call &call, const worker_reply &reply, instant now)
{
    if (!m_worker || call.workerId != m_worker->id)
        return;
    switch (call.kind) {
    case worker_call_kind::start:
        onStartReply(call, reply, now);
        break;
    case worker_call_kind::stop: {
        const auto found = m_runs.find({ call.task, call.run });
        if (found == m_runs.end())
            break;
        found->second.stopOnItsWay = false;
        if (reply.kind == worker_reply_kind::accepted) {
            found->second.phase = run_phase::settling;
            found->second.provedByHold = m_holdNumber + 1;
        }
        break;
    }
    case worker_call_kind::hold:
        onHoldReply(call, reply, now);
        break;
    case worker_call_kind::pace:
        break; // the next measurement corrects a pace that did not arrive
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
        found->second.provedByHold = m_holdNumber + 1;
        return;
    }
    log(log_level::warning, "start_unanswered",
        { { "task", call.task }, { "run", std::to_string(call.run) } });
    callStop(key, found->second, now);
}

void agent::onHoldReply(const worker_call &call, const worker_reply &reply, instant now)
{
    if (call.number != m_holdNumber)
        return; // of an earlier incarnation
    m_holdOnItsWay = false;
    if (reply.kind != worker_reply_kind::accepted || !reply.listing) {
        onUnreachable(reply, now);
        m_nextHold = now + holdRetryInterval;
        return;
    }
    takeClock(reply.clockMs, now);
    m_failedHolds = 0;
    m_notRunning = 0;
    const worker_listing &listing = *reply.listing;
    if (listing.startMs != 0 && listing.startMs != m_worker->startMs) {
        awaitAnnouncement(listing.startMs);
        return;
    }
    if (!m_responsive || m_lapsed) {
        m_responsive = true;
        m_lapsed = false;
        m_reportNow = true;
        m_completeNow = true;
    }
    m_nextHold = now;
    onListing(listing, m_holdNumber, now);
}

/// The worker has started anew. What it can take is known only once it announces itself.
void agent::awaitAnnouncement(std::uint64_t startMs)
{
    log(log_level::info, "worker_restarted",
        { { "worker", m_worker->id }, { "start_ms", std::to_string(startMs) } });
    m_unannounced = startMs;
    m_responsive = false;
    m_reportNow = true;
}

void agent::onUnreachable(const worker_reply &reply, instant now)
{
    ++m_failedHolds;
    m_notRunning = reply.kind == worker_reply_kind::not_running ? m_notRunning + 1 : 0;
    if (m_responsive) {
        m_responsive = false;
        m_reportNow = true;
        log(log_level::warning, "worker_unresponsive", { { "worker", m_worker->id } });
    }
    const auto longest = std::chrono::duration_cast<duration>(m_term * m_options.clockDrift);
    const bool leasesEnded = now > m_leasedUntil + longest + m_options.leaseMargin;
    if (m_lapsed || (!leasesEnded && m_notRunning < notRunningProof))
        return;
    log(log_level::warning, "worker_lost",
        { { "worker", m_worker->id },
          { "runs", std::to_string(m_runs.size()) },
          { "reason", leasesEnded ? "leases_ended" : "not_running" } });
    m_lapsed = true;
    m_runs.clear();
    m_reportNow = true;
}

void agent::onListing(const worker_listing &listing, std::uint64_t holdNumber, instant now)
{
    m_completeNow = m_completeNow || !m_listed;
    m_listed = true;
    takeEnds(listing);
    std::set<run_key> running;
    for (const run_status &status : listing.running) {
        const run_key key{ status.task, status.run };
        running.insert(key);
        takeStatus(key, status);
    }
    std::vector<run_key> absent;
    for (auto &[key, state] : m_runs) {
        const bool listed = running.count(key) > 0;
        const bool proved = state.provedByHold > 0 && holdNumber >= state.provedByHold;
        if (!listed && proved
            && (state.phase == run_phase::settling || state.phase == run_phase::running))
            absent.push_back(key);
        // A stop takes a while; without an end it is sent again.
        if (listed && state.phase == run_phase::settling && now >= state.nextStop)
            state.phase = run_phase::stopping;
    }
    for (const run_key &key : absent)
        refuse(key, "not_there");
    pace(now);
}

void agent::takeEnds(const worker_listing &listing)
{
    for (const run_end &end : listing.ended) {
        m_runs.erase({ end.task, end.run });
        if (end.number <= m_lastEnd || end.number <= m_endsNoted)
            continue;
        m_lastEnd = end.number;
        m_ends[end.number] = end;
        m_newEnds.push_back(end);
        m_reportNow = true;
    }
}

void agent::takeStatus(const run_key &key, const run_status &status)
{
    const bool known = m_runs.count(key) > 0;
    run_state &state = m_runs[key];
    if (!known) {
        state.phase = run_phase::running;
        state.provedByHold = m_holdNumber + 1;
        m_completeNow = true;
        m_reportNow = true;
    }
    state.listed = true;
    if (!status.checkpoint.empty())
        state.checkpoint = status.checkpoint;
    state.percent = status.percent;
    state.usage = status.usage;
}

void agent::pace(instant now)
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
    const auto changes = m_pacing.update(tasks, now);
    for (const auto &[key, state] : m_runs) {
        const auto change = changes.find(key.first);
        if (change == changes.end() || !state.fills)
            continue;
        worker_call slow = call(worker_call_kind::pace);
        slow.task = key.first;
        slow.run = key.second;
        slow.percent = change->second;
        m_calls.push_back(std::move(slow));
    }
}

} // namespace plantainpitch::sched
