#include "plantainpitch/sched/agent.h"

#include <algorithm>

namespace plantainpitch::sched {

agent::agent(agent_options options)
    : m_options(std::move(options))
    , m_term(m_options.term)
{}

void agent::forgetRuns()
{
    m_runs.clear();
    m_ends.clear();
    m_newEnds.clear();
    m_lastEnd = 0;
    m_endsNoted = 0;
    m_listed = false;
}

bool agent::workerAnnounced(const worker_info &info, std::int64_t clockMs, instant now)
{
    // Wall clocks jump: an incarnation that has answered is the present one, whenever it started.
    if (m_worker && info.startMs < m_worker->startMs && info.startMs != m_unannounced)
        return false;
    const bool sameLife = m_worker && m_worker->id == info.id && m_worker->startMs == info.startMs;
    if (!sameLife) {
        log(log_level::info, "worker_announced",
            { { "worker", info.id },
              { "start_ms", std::to_string(info.startMs) },
              { "service", info.service } });
        forgetRuns();
        m_unannounced = 0;
        m_workerClockMs = 0;
        m_responsive = true;
        m_lapsed = false;
        m_failedHolds = 0;
        m_notRunning = 0;
        m_holdOnItsWay = false;
        ++m_holdNumber;
        m_nextHold = now;
        // An agent before this one may have granted a lease just before it ended.
        if (!m_worker)
            m_leasedUntil = now + m_term;
    }
    if (clockMs > 0 && m_workerClockMs == 0) {
        m_workerClockMs = clockMs;
        m_workerClockAt = now;
    }
    if (!m_worker || *m_worker != info) {
        m_worker = info;
        m_workerReported = false;
        m_reportNow = true;
        m_completeNow = m_completeNow || !sameLife;
    }
    return true;
}

void agent::workerLeft(const std::string &id, instant /*now*/)
{
    if (!m_worker || m_worker->id != id)
        return;
    log(log_level::info, "worker_left", { { "worker", id } });
    // Ends that it has listed still have to reach an owner.
    m_runs.clear();
    m_worker->ready = false;
    m_workerReported = false;
    m_responsive = false;
    m_lapsed = true;
    m_reportNow = true;
}

bool agent::ownerOpened(const owner_hello &hello, instant now)
{
    if (hello.epoch < m_epoch)
        return false;
    log(log_level::info, "owner_connected",
        { { "owner", hello.node },
          { "epoch", std::to_string(hello.epoch) },
          { "runs", std::to_string(m_runs.size()) } });
    m_epoch = hello.epoch;
    m_term = std::chrono::milliseconds(hello.termMs);
    m_ownerConnected = true;
    m_workerReported = false;
    m_ordersSeen = 0;
    m_completeNow = true;
    m_reportNow = true;
    m_newEnds.clear();
    m_adviceRequests.clear();
    m_advice.clear();
    for (const auto &[number, end] : m_ends)
        m_newEnds.push_back(end);
    m_nextHold = now;
    return true;
}

void agent::ownerClosed(instant /*now*/)
{
    if (m_ownerConnected)
        log(log_level::warning, "owner_lost", { { "epoch", std::to_string(m_epoch) } });
    m_ownerConnected = false;
}

void agent::onOrders(const agent_orders &orders, instant now)
{
    if (orders.grantedUs != 0) {
        const instant sent{ duration(orders.grantedUs) };
        m_authorityUntil = std::max(m_authorityUntil, sent + m_term);
    }
    for (const auto &request : orders.questions)
        m_adviceRequests.push_back(*request);
    if (orders.number == 0)
        return;
    m_ordersSeen = orders.number;
    const bool current = m_worker && orders.workerStartMs == m_worker->startMs && !m_lapsed;
    if (current && orders.endsNoted > m_endsNoted) {
        m_endsNoted = orders.endsNoted;
        m_ends.erase(m_ends.begin(), m_ends.upper_bound(m_endsNoted));
    }
    for (const auto &description : orders.describes) {
        const auto found = m_runs.find({ description->task, description->run });
        if (found == m_runs.end())
            continue;
        found->second.targetMs = description->targetMs;
        found->second.fills = description->fills;
        found->second.disturbance = description->disturbance;
    }
    for (const auto &stop : orders.stops) {
        if (current)
            stopRun({ stop->task, stop->run }, now);
    }
    for (const auto &start : orders.starts) {
        if (current)
            startRun(*start, now);
        else
            refuse({ start->task, start->run }, "worker_gone");
    }
}

void agent::onAdvice(advice content)
{
    m_advice.push_back(std::move(content));
    m_reportNow = true;
}

void agent::refuse(const run_key &key, const std::string &reason)
{
    m_runs.erase(key);
    run_refusal refusal;
    refusal.task = key.first;
    refusal.run = key.second;
    refusal.reason = reason;
    m_refusals.push_back(std::move(refusal));
    m_reportNow = true;
}

void agent::tick(instant now)
{
    if (m_worker && m_epoch > 0 && m_unannounced == 0) {
        if (!m_holdOnItsWay && now >= m_nextHold)
            hold(now);
        for (auto &[key, state] : m_runs) {
            if (state.phase == run_phase::stopping && !state.stopOnItsWay && now >= state.nextStop)
                callStop(key, state, now);
        }
    }
    if (m_ownerConnected && (m_reportNow || now - m_lastReport >= m_options.reportInterval))
        report(now);
}

void agent::report(instant now)
{
    agent_report content;
    content.sentUs = now.time_since_epoch().count();
    content.ordersSeen = m_ordersSeen;
    content.responsive = m_responsive;
    content.lapsed = m_lapsed;
    if (m_worker && !m_workerReported) {
        content.worker = std::make_unique<worker_info>(*m_worker);
        m_workerReported = true;
    }
    for (run_end &end : m_newEnds)
        content.ended.push_back(std::make_unique<run_end>(std::move(end)));
    m_newEnds.clear();
    for (run_refusal &refusal : m_refusals)
        content.refused.push_back(std::make_unique<run_refusal>(std::move(refusal)));
    m_refusals.clear();
    for (advice &each : m_advice)
        content.advised.push_back(std::make_unique<advice>(std::move(each)));
    m_advice.clear();
    // Before the first listing, the agent cannot say what runs.
    const bool due = m_completeNow || now - m_lastComplete >= m_options.completeReportInterval;
    if (due && m_worker && (m_listed || m_lapsed)) {
        m_completeNow = false;
        m_lastComplete = now;
        reportAllRuns(content);
    }
    m_reportNow = false;
    m_lastReport = now;
    m_reports.push_back(std::move(content));
}

void agent::reportAllRuns(agent_report &content) const
{
    const auto addStarting = [&content](const std::string &task, std::uint32_t run) {
        auto added = std::make_unique<run_ref>();
        added->task = task;
        added->run = run;
        content.starting.push_back(std::move(added));
    };
    content.complete = true;
    for (const auto &[key, state] : m_runs) {
        if (state.phase != run_phase::running || !state.listed) {
            addStarting(key.first, key.second);
            continue;
        }
        auto status = std::make_unique<run_status>();
        status->task = key.first;
        status->run = key.second;
        status->checkpoint = state.checkpoint;
        status->percent = state.percent;
        status->usage = state.usage;
        if (state.fills)
            status->pace = static_cast<std::uint8_t>(m_pacing.percentOf(key.first));
        content.running.push_back(std::move(status));
    }
    // An end that is reported already and not noted yet is no missing run.
    for (const auto &[number, end] : m_ends)
        addStarting(end.task, end.run);
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
