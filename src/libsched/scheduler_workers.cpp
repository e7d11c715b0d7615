#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainpitch::sched {

namespace {

/// The process has been suspended if it has done nothing for this long; it ticks every 100 ms.
constexpr std::chrono::milliseconds suspensionGap{ 1'000 };
/// After a suspension it takes this long to notice which agents have turned to another owner.
constexpr std::chrono::milliseconds resumeDelay{ 500 };

/// The first label of a worker is its kind, the second its rack.
std::string rackOf(const worker_info &info)
{
    return info.labels.size() > 1 ? info.labels[1] : std::string();
}

} // namespace

void scheduler::setAgents(std::set<std::string> nodes)
{
    m_agents = std::move(nodes);
}

bool scheduler::hasMajority() const
{
    return m_connected.size() * 2 > m_agents.size();
}

void scheduler::agentOpened(const std::string &node, instant /*now*/)
{
    m_agents.insert(node);
    m_connected.insert(node);
    m_ordersSent.erase(node);
    // Orders that were sent on an earlier connection have either arrived or are lost.
    const auto found = m_workerByNode.find(node);
    if (found == m_workerByNode.end())
        return;
    for (auto &[name, allocation] : found->second->runs) {
        allocation.orderNumber = 0;
        allocation.stopOrdered = false; // a stop that is still wanted is ordered again
        allocation.described = false; // the agent may be a new process
    }
}

void scheduler::agentClosed(const std::string &node, instant /*now*/)
{
    m_connected.erase(node);
    m_advice.agentLost(node);
    const auto found = m_workerByNode.find(node);
    if (found == m_workerByNode.end())
        return;
    found->second->connected = false;
    log(log_level::warning, "agent_lost",
        { { "node", node },
          { "worker", found->second->key.id },
          { "runs", std::to_string(found->second->runs.size()) } });
}

/// Transfers runs that no report has confirmed to the next incarnation of their worker, which may
/// have received their starts. The agent's report shows whether it did; if not, a stop keeps them
/// from starting.
void scheduler::transferUnconfirmedRuns(worker &previousIncarnation, worker &nextIncarnation)
{
    std::vector<std::string> unconfirmed;
    for (const auto &[name, allocation] : previousIncarnation.runs) {
        const task_location location = findTask(name);
        if (location.taskState && location.taskState->phase == task_phase::active
            && location.taskState->run == allocation.run && !location.taskState->reported)
            unconfirmed.push_back(name);
    }
    for (const std::string &name : unconfirmed) {
        allocation allocation = previousIncarnation.runs[name];
        previousIncarnation.release(name, allocation.run);
        allocation.orderNumber = 0;
        nextIncarnation.reserve(name, allocation);
        const task_location location = findTask(name);
        location.taskState->place = nextIncarnation.key;
        markChanged(*location.parentJob);
    }
}

/// Removes the other incarnations beside the node. Its agent names only one that the worker has
/// confirmed, and the worker runs one at a time, whatever their start times.
void scheduler::removeFormerIncarnations(const std::string &node, worker &current, instant now)
{
    for (auto each = m_workers.begin(); each != m_workers.end();) {
        worker &other = *each->second;
        // Records of earlier releases do not name the agent.
        const bool sameVm =
                other.agent == node || (other.agent.empty() && other.key.id == current.key.id);
        if (&other == &current || !sameVm) {
            ++each;
            continue;
        }
        log(log_level::info, "worker_replaced",
            { { "node", node },
              { "worker", other.key.id },
              { "start_ms", std::to_string(other.key.startMs) },
              { "successor", current.key.id },
              { "successor_start_ms", std::to_string(current.key.startMs) },
              { "runs", std::to_string(other.runs.size()) } });
        countUnreportedCrash(other, now);
        if (other.key.id == current.key.id)
            transferUnconfirmedRuns(other, current);
        requeueLostRuns(other, "worker_restarted", now);
        m_workerByNode.erase(other.agent);
        each = m_workers.erase(each);
    }
}

worker &scheduler::updateWorker(const std::string &node, const worker_info &info, instant now)
{
    const worker_key key{ info.id, info.startMs };
    auto &entry = m_workers[key];
    if (!entry) {
        entry = std::make_unique<worker>();
        entry->key = key;
        entry->capacity = capacityOf(info);
        entry->capacitySince = now;
    }
    removeFormerIncarnations(node, *entry, now);
    const auto formerNode = m_workerByNode.find(entry->agent);
    if (formerNode != m_workerByNode.end() && formerNode->second == entry.get())
        m_workerByNode.erase(formerNode);
    entry->agent = node;
    if (!entry->service.empty() && entry->service != info.service) {
        log(log_level::warning, "worker_service_changed",
            { { "worker", key.id }, { "old", entry->service }, { "new", info.service } });
    }
    entry->service = info.service;
    entry->dataCentre = info.dataCentre;
    entry->labels = info.labels;
    entry->rack = rackOf(info);
    if (entry->capacity != capacityOf(info)) {
        log(log_level::info, "capacity_changed",
            { { "worker", key.id },
              { "old", textOf(entry->capacity) },
              { "new", textOf(capacityOf(info)) },
              { "used", textOf(entry->used) } });
        entry->capacity = capacityOf(info);
        entry->capacitySince = now;
    }
    entry->leasedUntil = std::max(entry->leasedUntil, now);
    if (entry->ready != info.ready) {
        log(log_level::info, "worker_state",
            { { "worker", key.id },
              { "node", node },
              { "ready", info.ready ? "yes" : "no" },
              { "rack", entry->rack } });
    }
    entry->ready = info.ready;
    m_workerByNode[node] = entry.get();
    m_passNeeded = true;
    return *entry;
}

void scheduler::reconcile(worker &worker, const agent_report &report, instant now)
{
    worker.lastReport = now;
    std::set<std::pair<std::string, std::uint32_t>> reported;
    std::vector<std::pair<std::string, std::uint32_t>> undescribed;
    for (const auto &each : report.starting)
        reported.emplace(each->task, each->run);
    for (const auto &each : report.ended)
        reported.emplace(each->task, each->run);
    for (const auto &each : report.running) {
        reported.emplace(each->task, each->run);
        const task_location location = findTask(each->task);
        const bool current = location.taskState && location.taskState->phase == task_phase::active
                             && location.taskState->run == each->run
                             && location.taskState->place == worker.key
                             && !location.parentJob->ended();
        if (!current) {
            if (location.taskState && worker.runs.count(each->task) == 0) {
                const step_spec &spec =
                        location.parentJob->stepSpec(task_name::parse(each->task)->step);
                worker.reserve(each->task, allocationFor(spec, each->run));
            }
            orderStop(worker, each->task, each->run);
            undescribed.emplace_back(each->task, each->run);
            continue;
        }
        recordCheckpoint(location, each->checkpoint);
        location.parentJob->lastActive = now;
        if (!location.taskState->reported) {
            location.taskState->reported = true;
            location.taskState->runningSince = now;
            location.taskState->endWait();
            location.parentJob->begun = true;
        }
        if (report.responsive) // otherwise the agent repeats an earlier listing
            endTrialIfPassed(location, worker, each->task, now);
        const auto run = worker.runs.find(each->task);
        if (run != worker.runs.end() && !std::exchange(run->second.described, true))
            undescribed.emplace_back(each->task, each->run);
    }
    // Runs that were ordered but are not reported: a stop ensures that they never start.
    for (const auto &[name, allocation] : worker.runs) {
        if (reported.count({ name, allocation.run }) == 0
            && allocation.orderNumber <= report.ordersSeen) {
            orderStop(worker, name, allocation.run);
            undescribed.emplace_back(name, allocation.run);
        }
    }
    for (const auto &[name, run] : undescribed)
        orderDescription(worker, name, run);
}

void scheduler::onReport(const std::string &node, const agent_report &report, instant now)
{
    if (!m_loaded)
        return;
    noteActivity(now);
    processAdvice(report, now);
    // Before the runs on the worker are taken as lost.
    for (const auto &crash : report.crashes)
        onWorkerCrash(*crash, now);
    if (report.worker)
        updateWorker(node, *report.worker, now);
    if (report.vacant)
        removeWorkersOfVacantAgent(node, report, now);
    const auto found = m_workerByNode.find(node);
    if (found == m_workerByNode.end()) {
        grantLease(node, nullptr, report, now);
        return;
    }
    worker &worker = *found->second;
    if (report.responsive != worker.responsive)
        m_passNeeded = true;
    worker.responsive = report.responsive;
    worker.fenced = worker.fenced || report.workerFence >= m_options.epoch;
    // The agent may have read newer records than this process.
    const bool evacuated = report.evacuated || m_evacuations.includes(worker.dataCentre);
    m_passNeeded = m_passNeeded || evacuated != worker.evacuated;
    worker.evacuated = evacuated;
    if (report.leasedMs > 0) {
        const auto left = std::chrono::milliseconds(report.leasedMs) * (1 + m_options.clockDrift);
        worker.leasedUntil =
                std::max(worker.leasedUntil,
                         now + std::chrono::duration_cast<duration>(left) + m_options.leaseMargin);
    }
    std::uint64_t lastEnd = 0;
    for (const auto &end : report.ended) {
        onRunEnd(worker, *end, now);
        lastEnd = std::max(lastEnd, end->number);
    }
    for (const auto &refusal : report.refused)
        onRunRefusal(worker, *refusal, now);
    if (report.lapsed)
        requeueLostRuns(worker, "leases_ended", now, report.unsettled);
    if (lastEnd > 0) {
        agent_orders &orders = ordersFor(worker, 0);
        orders.endsNoted = std::max(orders.endsNoted, lastEnd);
    }
    if (report.complete) {
        worker.connected = true;
        reconcile(worker, report, now);
        // A worker that is slow to answer has its last listing reported again, which shows no
        // progress and no new load.
        const bool repeated =
                report.listedUs != 0
                && report.listedUs == std::exchange(worker.lastListedUs, report.listedUs);
        if (!repeated) {
            observeDisturbances(worker, report, now);
            watchProgress(worker, report, now);
        }
    }
    grantLease(node, &worker, report, now);
}

void scheduler::processAdvice(const agent_report &report, instant now)
{
    for (const auto &each : report.advised) {
        if (!each->answered) {
            m_advice.requestFailed(each->step, now);
            continue;
        }
        std::vector<ticket_grant> tickets;
        for (const auto &ticket : each->good)
            tickets.push_back({ .worker = ticket->worker, .ticket = ticket->text });
        m_advice.adviceReceived(each->step, each->asked, tickets,
                                std::chrono::milliseconds(each->validityMs), now);
        m_passNeeded = true;
    }
}

/// Notices that the process was suspended.
void scheduler::noteActivity(instant now)
{
    if (m_lastActivity && now - *m_lastActivity >= suspensionGap) {
        using std::chrono::milliseconds;
        const auto gap = std::chrono::duration_cast<milliseconds>(now - *m_lastActivity);
        log(log_level::warning, "owner_resumed",
            { { "suspended_ms", std::to_string(gap.count()) } });
        m_resumed = now;
    }
    m_lastActivity = now;
}

void scheduler::grantLease(const std::string &node, worker *worker, const agent_report &report,
                           instant now)
{
    // Another process may have become the owner meanwhile, and the connections are as they were
    // before the suspension.
    const bool justResumed =
            m_resumed && now - *m_resumed < resumeDelay && m_ownership.confirmed() < *m_resumed;
    if (justResumed || m_ownership.mayBeReplaced(now)) {
        log(log_level::warning, "grant_withheld",
            { { "node", node },
              { "all_heard", m_ownership.contact().all ? "yes" : "no" },
              { "connected", std::to_string(m_connected.size()) },
              { "agents", std::to_string(m_agents.size()) } });
        return;
    }
    agent_orders orders;
    orders.grantedUs = report.sentUs;
    m_messages.push_back({ node, makeMessage(std::move(orders)) });
    const auto term =
            std::chrono::duration_cast<duration>(m_options.term * (1 + m_options.clockDrift));
    const instant leasedUntil = now + term + m_options.leaseMargin;
    if (worker) {
        worker->leasedUntil = std::max(worker->leasedUntil, leasedUntil);
        return;
    }
    // The agent may pass the grant on to a worker that it has not named yet.
    for (auto &[key, each] : m_workers) {
        if (each->agent == node)
            each->leasedUntil = std::max(each->leasedUntil, leasedUntil);
    }
}

/// End of the latest lease that an earlier owner may have granted, if it has lost a member now.
instant scheduler::earlierLeaseEnd(instant now) const
{
    const auto longest = m_options.staleOwner + m_options.term * (1 + m_options.clockDrift);
    return now + std::chrono::duration_cast<duration>(longest) + m_options.leaseMargin;
}

/// Finds out whether an earlier owner that the store does not reach may go on granting leases. It
/// does so while it hears all members, to workers that have not answered a call of this owner.
void scheduler::noteEarlierOwners(instant now)
{
    // Processes that have all been restarted do not know of an earlier owner.
    const bool ended = m_ownership.contact().formerlyOwned || hasMajority();
    if (ended && !m_earlierOwnersEnded) {
        for (auto &[key, worker] : m_workers) {
            if (!worker->connected && !worker->fenced)
                worker->leasedUntil = std::max(worker->leasedUntil, earlierLeaseEnd(now));
        }
    }
    m_earlierOwnersEnded = ended;
}

/// Takes the runs of workers whose leases have ended as lost. A later owner does no harm: no start
/// of this one is stored after the epoch of the later one has begun.
void scheduler::removeLostWorkers(instant now)
{
    noteEarlierOwners(now);
    for (auto each = m_workers.begin(); each != m_workers.end();) {
        worker &worker = *each->second;
        const bool mayBeExtended = !m_earlierOwnersEnded && !worker.fenced;
        if (worker.connected || now < worker.leasedUntil || mayBeExtended) {
            ++each;
            continue;
        }
        // An agent names its worker only once on a connection, and its first listing may be due.
        const auto byNode = m_workerByNode.find(worker.agent);
        const bool mayBeListed = byNode != m_workerByNode.end() && byNode->second == &worker
                                 && m_connected.count(worker.agent) > 0;
        if (!mayBeListed) {
            each = removeWorker(each, "leases_ended", now);
            continue;
        }
        if (!worker.runs.empty())
            requeueLostRuns(worker, "leases_ended", now);
        ++each;
    }
}

/// Whether the agent may still get orders that it had not carried out when it sent the report.
bool scheduler::hasOrdersOnTheirWay(const std::string &node, const agent_report &report) const
{
    const auto sent = m_ordersSent.find(node);
    return m_staged.orders.count(node) > 0 || m_inFlight.orders.count(node) > 0
           || (sent != m_ordersSent.end() && report.ordersSeen < sent->second);
}

/// The leases of these workers cannot be awaited: grants to the agent extend them, as it may give
/// them to a worker that it gets to know, and a new owner does not know when they were granted.
void scheduler::removeWorkersOfVacantAgent(const std::string &node, const agent_report &report,
                                           instant now)
{
    // A worker that announces itself meanwhile could still carry out a start.
    if (hasOrdersOnTheirWay(node, report))
        return;
    for (auto each = m_workers.begin(); each != m_workers.end();) {
        const worker &worker = *each->second;
        each = worker.agent == node && !worker.connected ? removeWorker(each, "agent_vacant", now)
                                                         : std::next(each);
    }
}

std::map<worker_key, std::unique_ptr<worker>>::iterator
scheduler::removeWorker(std::map<worker_key, std::unique_ptr<worker>>::iterator lost,
                        const char *reason, instant now)
{
    worker &worker = *lost->second;
    requeueLostRuns(worker, reason, now);
    const auto byNode = m_workerByNode.find(worker.agent);
    if (byNode != m_workerByNode.end() && byNode->second == &worker)
        m_workerByNode.erase(byNode);
    return m_workers.erase(lost);
}

} // namespace plantainpitch::sched
