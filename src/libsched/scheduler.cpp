#include "plantainpitch/sched/scheduler.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/record_keys.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// Retries and scheduled occurrences become due without an event, so passes also run periodically.
constexpr std::chrono::milliseconds passInterval{ 250 };
constexpr std::chrono::seconds stateLogInterval{ 10 };

} // namespace

scheduler::scheduler(const scheduler_options &options, const placement_policy &placement,
                     const waiting_order &order, disturbance_model &disturbances)
    : m_options(options)
    , m_placement(placement)
    , m_order(order)
    , m_disturbances(disturbances)
    , m_ownership(options.staleOwner, options.epochBegun)
{}

void scheduler::load(const stored_record &record)
{
    if (record.key.empty() || record.value.empty())
        return;
    const std::string id = record.key.substr(1);
    if (record.key.front() == submissionPrefix) {
        auto loaded = std::make_unique<job>();
        loaded->request = decodeSubmission(record.value);
        if (loaded->request.id != id) {
            throw error(error_kind::protocol_error, "the record's key names another job",
                        "check which process wrote the record");
        }
        loaded->stored = true;
        m_jobs[id] = std::move(loaded);
    } else if (record.key.front() == progressPrefix) {
        loadProgress(id, record.value);
    } else if (record.key.front() == queuePrefix) {
        loadQueue(id, record.value);
    }
}

void scheduler::finishLoading(instant now, std::int64_t wallMs)
{
    m_takeover = now;
    m_loaded = true;
    for (auto &[id, entry] : m_jobs) {
        job &job = *entry;
        const auto age = std::chrono::milliseconds(
                std::max<std::int64_t>(0, wallMs - job.request.receivedMs));
        job.received = now - age;
        const auto stored = m_loadedProgress.find(id);
        if (stored != m_loadedProgress.end())
            applyProgress(job, stored->second);
        // When a task was active last is not stored.
        job.lastActive = job.started ? now : job.received;
        if (!job.ended()) {
            addDueOccurrences(job, wallMs);
            m_open.push_back(&job);
            treatWaitingTasksAsOverdue(job, now);
        }
        job.committedState = job.state();
    }
    m_loadedProgress.clear();
    decideOnLoadedSuspects(now);
    // Runs of an earlier owner may hold leases that it granted just before the takeover.
    for (auto &[key, worker] : m_workers)
        worker->leasedUntil = earlierLeaseEnd(now);
    m_passNeeded = true;
    log(log_level::info, "partition_taken",
        { { "epoch", std::to_string(m_options.epoch) },
          { "jobs", std::to_string(m_jobs.size()) },
          { "open", std::to_string(m_open.size()) } });
}

void scheduler::setConfig(const fleet_config &config)
{
    if (config.version < m_config.version)
        return;
    for (const auto &[name, queue] : m_config.queues)
        m_formerQueues[name] = queue;
    m_config = config;
    m_queueRecordsDue = true;
    for (job *job : m_open)
        setObjective(*job);
    const auto open = m_open; // copied because ending a job removes it from m_open
    for (job *job : open)
        failIfExhausted(*job);
    m_passNeeded = true;
}

void scheduler::setEvacuations(const evacuation_list &list)
{
    if (list.asOf < m_evacuations.asOf)
        return;
    const bool changed = list.dataCentres != m_evacuations.dataCentres;
    m_evacuations = list;
    if (!changed)
        return;
    for (auto &[key, worker] : m_workers)
        worker->evacuated = m_evacuations.includes(worker->dataCentre);
    m_passNeeded = true;
    log(log_level::info, "evacuations_changed",
        { { "as_of", std::to_string(list.asOf) }, { "data_centres", textOf(list) } });
}

const job *scheduler::findJob(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

void scheduler::tick(instant now, std::int64_t wallMs)
{
    if (!m_loaded)
        return;
    noteActivity(now);
    removeLostWorkers(now);
    decideOnSuspects(now);
    for (job *job : m_open)
        addDueOccurrences(*job, wallMs);
    removeOldJobs(wallMs);
    if (now - m_lastStateLog >= stateLogInterval) {
        m_lastStateLog = now;
        logState();
    }
    if (now - m_lastPass >= passInterval)
        m_passNeeded = true;
}

void scheduler::logState()
{
    std::size_t started = 0;
    for (const job *job : m_open)
        started += job->started ? 1 : 0;
    log(log_level::info, "partition_state",
        { { "jobs", std::to_string(m_jobs.size()) },
          { "open", std::to_string(m_open.size()) },
          { "started", std::to_string(started) },
          { "workers", std::to_string(m_workers.size()) },
          { "agents", std::to_string(m_connected.size()) } });
    for (const auto &[key, worker] : m_workers) {
        log(log_level::debug, "worker_load",
            { { "worker", key.id },
              { "node", worker->agent },
              { "usable", worker->isUsable() ? "yes" : "no" },
              { "runs", std::to_string(worker->runs.size()) },
              { "serving", std::to_string(worker->servingRuns) },
              { "reserved_cpu", std::to_string(worker->used.cpu) },
              { "filling_cpu", std::to_string(worker->fillingCpu) },
              { "memory_mb", std::to_string(worker->used.memoryMb) } });
    }
}

std::optional<std::vector<stored_record>> scheduler::nextCommit(instant now, std::int64_t wallMs)
{
    if (m_commitInFlight || !m_loaded)
        return std::nullopt;
    if (m_passNeeded)
        schedulePass(now);
    std::vector<stored_record> records;
    for (job *job : m_changed) {
        const std::string &id = job->request.id;
        if (job->submissionChanged)
            records.push_back({ submissionPrefix + id, encodeSubmission(job->request) });
        if (job->progressChanged) {
            if (job->ended() && job->endedMs == 0)
                job->endedMs = wallMs;
            addProgressRecords(*job, records);
        }
        job->submissionChanged = false;
        job->progressChanged = false;
        m_staged.committedStates.emplace_back(id, job->state());
    }
    m_changed.clear();
    addQueueRecords(records);
    for (const std::string &key : m_removedKeys)
        records.push_back({ key, {} });
    m_removedKeys.clear();
    m_inFlight = std::move(m_staged);
    m_staged = {};
    m_commitInFlight = true;
    if (!records.empty())
        return records;
    commitDone();
    return std::nullopt;
}

void scheduler::commitDone()
{
    m_commitInFlight = false;
    m_storeFailedSince.reset();
    for (const auto &[id, state] : m_inFlight.committedStates) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            continue;
        found->second->committedState = state;
        found->second->stored = true;
    }
    for (auto &[node, staged] : m_inFlight.orders) {
        for (agent_orders &orders : staged.messages) {
            m_ordersSent[node] = orders.number;
            m_messages.push_back({ node, makeMessage(std::move(orders)) });
        }
    }
    for (outgoing_message &content : m_inFlight.messages)
        m_messages.push_back(std::move(content));
    m_inFlight = {};
}

std::vector<outgoing_message> scheduler::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<write_log> scheduler::takeLogLines()
{
    return std::exchange(m_logLines, {});
}

void scheduler::log(log_level level, const char *event,
                    std::vector<std::pair<std::string, std::string>> fields, const char *budget)
{
    m_logLines.push_back({ level, event, std::move(fields), budget });
}

/// Long-running tasks are few, and each of their lines counts; batch work would use up the common
/// budget of an event.
const char *scheduler::budgetOf(const step_spec &step)
{
    return step.longRunning ? "long_running" : "";
}

} // namespace plantainpitch::sched
