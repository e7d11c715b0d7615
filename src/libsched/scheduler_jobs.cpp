#include "plantainpitch/sched/scheduler.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/job_limits.h"
#include "plantainpitch/sched/record_keys.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// Retry delay for clients whose call arrives before the queues are known.
constexpr std::chrono::milliseconds notReadyRetry{ 300 };
/// A store that has failed for this long counts as down, and new jobs are not accepted.
constexpr std::chrono::milliseconds storeDownAfter{ 500 };
// The retry delay grows with the outage, as a long outage is likely to continue; clients then
// retry about as often as is useful.
constexpr std::chrono::milliseconds shortestOutageRetry{ 1'000 };
constexpr std::chrono::milliseconds longestOutageRetry{ 3'000 };

/// Bytes that the time of its reception adds to a submission, with padding.
constexpr std::size_t addedAtReception = 32;

/// Ten years; larger products of stretch and estimates would overflow.
constexpr double longestObjectiveMs = 3.2e11;

/// Weight of the newest job in the mean of its queue.
constexpr double meanWeight = 0.05;

/// Tasks, processors and estimate of each step, for log lines.
std::string describeSteps(const job_spec &spec)
{
    std::string text;
    for (const auto &step : spec.steps) {
        text += (text.empty() ? "" : ",") + std::to_string(step->count) + 'x'
                + std::to_string(step->cpu) + "mcpu/" + std::to_string(step->estimateMs) + "ms"
                + (step->fills ? "/fills" : "") + (step->targetMs > 0 ? "/serves" : "")
                + (step->maxPerVm > 0 ? "/apart" + std::to_string(step->maxPerVm) : "");
    }
    return text;
}

/// Returns what the answer to a call relies on; nothing if it is sent only after a batch has been
/// stored, which shows that this process still is the owner.
std::optional<requested_knowledge> knowledgeFor(call_kind kind, const job *known)
{
    if (kind == call_kind::count_pending)
        return requested_knowledge::pending_jobs;
    if (kind == call_kind::submit)
        return std::nullopt;
    if (!known)
        return requested_knowledge::unknown_job;
    if (kind == call_kind::cancel || !known->stored)
        return std::nullopt;
    return known->isShownAsEnded() ? requested_knowledge::ended_job : requested_knowledge::open_job;
}

/// Returns the settings of the queue that a gateway has sent with a submission; nothing if it has
/// sent none by which the job can run.
std::optional<queue_config> settingsIn(const client_call &call)
{
    if (!call.queueSettings || call.queueSettings->name != call.submitted->queue)
        return std::nullopt;
    try {
        return fromRecord(*call.queueSettings);
    } catch (const error &) {
        return std::nullopt; // the call is refused, with a log line
    }
}

/// Returns why the job of a submission cannot be accepted; empty if it can.
std::string problemOf(const client_call &call, const store_limits &limits)
{
    if (!call.submitted || !call.submitted->spec)
        return "the submission has no job specification";
    if (call.submitted->id != call.job)
        return "the submission is that of another job";
    try {
        checkJob(*call.submitted->spec);
    } catch (const error &failure) {
        return failure.what();
    }
    const stored_record record{ submissionPrefix + call.job, encodeSubmission(*call.submitted) };
    const std::size_t size = storedBytes(record) + addedAtReception;
    if (size > limits.recordBytes) {
        return "the job takes " + std::to_string(size) + " bytes in the store, which accepts "
               + std::to_string(limits.recordBytes) + "; hand it in as several jobs";
    }
    return {};
}

} // namespace

const queue_config *scheduler::queueOf(const job &job) const
{
    return findQueue(job.request.queue);
}

void scheduler::setObjective(job &job) const
{
    const queue_config *queue = queueOf(job);
    if (!queue)
        return;
    const double chainMs = queue->stretch * static_cast<double>(job.longestChainMs());
    // The comparison is false for a stretch that is no number.
    const double boundedMs = chainMs >= 0 ? std::min(chainMs, longestObjectiveMs) : 0;
    job.objective = job.received
                    + std::chrono::milliseconds(static_cast<std::int64_t>(boundedMs)
                                                + queue->targetLatencyMs);
}

void scheduler::markChanged(job &job)
{
    if (!job.submissionChanged && !job.progressChanged)
        m_changed.push_back(&job);
    job.progressChanged = true;
}

job &scheduler::addJob(submission request, instant now, std::int64_t wallMs)
{
    auto added = std::make_unique<job>();
    job &job = *added;
    job.request = std::move(request);
    job.request.receivedMs = wallMs;
    job.received = now;
    job.lastActive = now;
    m_lastSubmission = now;
    setObjective(job);
    double &mean = m_meanWork[job.request.queue];
    mean = mean > 0 ? mean + meanWeight * (job.estimatedWork() - mean) : job.estimatedWork();
    job.submissionChanged = true;
    m_queueRecordsDue = m_queueRecordsDue || m_storedQueues.count(job.request.queue) == 0;
    m_changed.push_back(&job);
    m_jobs[job.request.id] = std::move(added);
    m_open.push_back(&job);
    addDueOccurrences(job, wallMs);
    return job;
}

/// Returns false if the job would get more tasks than maxTasksPerJob.
bool scheduler::appendOccurrence(job &job, std::uint32_t number)
{
    std::uint64_t size = 0; // of one occurrence
    for (const auto &step : job.request.spec->steps)
        size += 1 + step->count;
    if ((job.occurrences.size() + 1) * size > maxTasksPerJob) {
        if (!std::exchange(job.occurrencesLimited, true)) {
            log(log_level::error, "occurrences_limited",
                { { "job", job.request.id },
                  { "occurrences", std::to_string(job.occurrences.size()) } });
        }
        return false;
    }
    occurrence added;
    added.number = number;
    added.steps.resize(job.request.spec->steps.size());
    for (std::size_t i = 0; i < added.steps.size(); ++i) {
        const std::uint32_t count = job.request.spec->steps[i]->count;
        added.steps[i].tasks.resize(count);
        added.steps[i].waiting = count;
    }
    job.occurrences.push_back(std::move(added));
    m_passNeeded = true;
    return true;
}

void scheduler::addDueOccurrences(job &job, std::int64_t wallMs)
{
    const job_spec &spec = *job.request.spec;
    while (!job.ended() && job.occurrences.size() < job.occurrenceCount()) {
        const auto number = static_cast<std::uint32_t>(job.occurrences.size());
        if (spec.occurrences > 0 && wallMs < spec.firstRunMs + number * spec.intervalMs)
            return;
        if (!appendOccurrence(job, number))
            return;
    }
}

void scheduler::stepDone(job &job, occurrence &affected)
{
    ++affected.doneSteps;
    m_passNeeded = true;
    if (job.occurrences.size() < job.occurrenceCount())
        return;
    const bool complete =
            std::all_of(job.occurrences.begin(), job.occurrences.end(),
                        [](const occurrence &each) { return each.doneSteps == each.steps.size(); });
    if (complete)
        endJob(job, job_outcome::completed);
}

void scheduler::endJob(job &job, job_outcome outcome)
{
    job.outcome = outcome;
    markChanged(job);
    m_open.erase(std::remove(m_open.begin(), m_open.end(), &job), m_open.end());
    m_passNeeded = true;
    for (occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            auto &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                task &task = tasks[index];
                if (task.phase == task_phase::waiting) {
                    task.phase = task_phase::dropped;
                    --occurrence.steps[step].waiting;
                } else if (task.phase == task_phase::active) {
                    const auto found = m_workers.find(task.place);
                    const task_name name{ job.request.id, occurrence.number, step, index };
                    if (found != m_workers.end())
                        orderStop(*found->second, name.text(), task.run);
                }
            }
        }
    }
    m_advice.removeJob(job.request.id);
    log(log_level::info, "job_ended",
        { { "job", job.request.id },
          { "outcome", outcome == job_outcome::completed ? "completed"
                       : outcome == job_outcome::failed  ? "failed"
                                                         : "cancelled" } });
}

void scheduler::removeOldJobs(std::int64_t wallMs)
{
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.keepEnded);
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const job &job = *entry->second;
        const bool expired = job.ended() && job.endedMs > 0 && !job.progressChanged
                             && wallMs - job.endedMs > keep.count();
        if (!expired) {
            ++entry;
            continue;
        }
        // A submission without progress would count as one whose tasks have never started.
        m_removedKeys.push_back(submissionPrefix + job.request.id);
        removeProgressRecords(job);
        m_queueRecordsDue = true;
        entry = m_jobs.erase(entry);
    }
}

void scheduler::answer(const std::string &node, std::uint64_t number, call_outcome outcome,
                       const job *job, bool afterCommit)
{
    client_answer result;
    result.number = number;
    result.outcome = static_cast<std::uint8_t>(outcome);
    if (job)
        result.state = static_cast<std::uint8_t>(job->committedState);
    auto &messages = afterCommit ? m_staged.messages : m_messages;
    messages.push_back({ node, makeMessage(result) });
}

void scheduler::refuse(const std::string &node, const client_call &call, const char *reason,
                       duration retryAfter)
{
    using std::chrono::milliseconds;
    const auto retryMs = std::chrono::duration_cast<milliseconds>(retryAfter).count();
    log(log_level::warning, "call_refused",
        { { "job", call.job },
          { "queue", call.queue },
          { "reason", reason },
          { "retry_after_ms", std::to_string(retryMs) } });
    client_answer result;
    result.number = call.number;
    result.outcome = static_cast<std::uint8_t>(call_outcome::unavailable);
    result.retryAfterMs = static_cast<std::uint32_t>(retryMs);
    m_messages.push_back({ node, makeMessage(result) });
}

void scheduler::onCall(const std::string &node, const client_call &call, instant now,
                       std::int64_t wallMs)
{
    const auto kind = static_cast<call_kind>(call.kind);
    const job *known = findJob(call.job);
    // A job that is not among the loaded ones is not stored, as earlier owners can store no more.
    // Calls about those that are need no configuration.
    const bool isNew = kind == call_kind::submit && !known;
    if (!m_loaded || (isNew && m_config.version == 0)) {
        refuse(node, call, "no_configuration", notReadyRetry);
        return;
    }
    const auto requested = knowledgeFor(kind, known);
    if (requested && !m_ownership.mayAnswer(*requested, now)) {
        refuse(node, call, "not_confirmed", notReadyRetry);
        return;
    }
    switch (kind) {
    case call_kind::submit:
        submit(node, call, now, wallMs);
        break;
    case call_kind::query:
        // A job whose submission is not stored yet is reported as unknown: it might still be lost.
        answer(node, call.number,
               known && known->stored ? call_outcome::done : call_outcome::unknown_job, known,
               known && !known->stored);
        break;
    case call_kind::cancel:
        cancel(node, call);
        break;
    case call_kind::count_pending: {
        client_answer result;
        result.number = call.number;
        result.pending = pendingJobs(call.queue);
        m_messages.push_back({ node, makeMessage(result) });
        break;
    }
    }
}

void scheduler::submit(const std::string &node, const client_call &call, instant now,
                       std::int64_t wallMs)
{
    if (const job *known = findJob(call.job)) {
        answer(node, call.number, call_outcome::done, known, !known->stored);
        return;
    }
    if (const std::string problem = problemOf(call, m_options.store); !problem.empty()) {
        log(log_level::warning, "job_unreadable", { { "job", call.job }, { "problem", problem } });
        answer(node, call.number, call_outcome::rejected, nullptr, false);
        return;
    }
    if (m_storeFailedSince && now - *m_storeFailedSince >= storeDownAfter) {
        const duration outage = now - *m_storeFailedSince;
        refuse(node, call, "store_down",
               std::clamp<duration>(outage, shortestOutageRetry, longestOutageRetry));
        return;
    }
    // The gateway may have taken the call before the configuration dropped the queue, or may know a
    // later configuration. Without settings the job would never run.
    const std::string &queue = call.submitted->queue;
    if (!findQueue(queue)) {
        const auto settings = settingsIn(call);
        if (!settings) {
            refuse(node, call, "unknown_queue", notReadyRetry);
            return;
        }
        m_formerQueues[queue] = *settings;
    }
    const job &added = addJob(*call.submitted, now, wallMs);
    log(log_level::info, "job_accepted",
        { { "job", call.job },
          { "queue", call.submitted->queue },
          { "steps", describeSteps(*call.submitted->spec) },
          { "config", std::to_string(m_config.version) } });
    answer(node, call.number, call_outcome::done, &added, true);
}

void scheduler::cancel(const std::string &node, const client_call &call)
{
    const auto found = m_jobs.find(call.job);
    if (found == m_jobs.end()) {
        answer(node, call.number, call_outcome::unknown_job, nullptr, false);
        return;
    }
    if (!found->second->ended())
        endJob(*found->second, job_outcome::cancelled);
    answer(node, call.number, call_outcome::done, found->second.get(), true);
}

std::uint32_t scheduler::pendingJobs(const std::string &queue) const
{
    return static_cast<std::uint32_t>(
            std::count_if(m_open.begin(), m_open.end(), [&queue](const job *each) {
                return each->request.queue == queue && !each->begun && each->stored;
            }));
}

} // namespace plantainpitch::sched
