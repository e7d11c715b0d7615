#include "plantainpitch/sched/scheduler.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// Retry delay for clients whose call arrives before the queues are known.
constexpr std::chrono::milliseconds notReadyRetry{ 300 };
/// A store that has failed for this long counts as down, and new jobs are not accepted.
constexpr std::chrono::milliseconds storeDownAfter{ 500 };
// The retry delay grows with the outage, as a long outage is likely to continue.
constexpr std::chrono::milliseconds shortestOutageRetry{ 1'000 };
constexpr std::chrono::milliseconds longestOutageRetry{ 3'000 };

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

} // namespace

const queue_config *scheduler::queueOf(const job &target) const
{
    const auto found = m_config.queues.find(target.request.queue);
    if (found != m_config.queues.end())
        return &found->second;
    const auto former = m_formerQueues.find(target.request.queue);
    return former == m_formerQueues.end() ? nullptr : &former->second;
}

void scheduler::markChanged(job &target)
{
    if (!target.submissionChanged && !target.progressChanged)
        m_changed.push_back(&target);
    target.progressChanged = true;
}

job &scheduler::addJob(submission request, instant now, std::int64_t wallMs)
{
    auto added = std::make_unique<job>();
    job &target = *added;
    target.request = std::move(request);
    target.request.receivedMs = wallMs;
    target.received = now;
    target.lastActive = now;
    m_lastSubmission = now;
    if (const queue_config *queue = queueOf(target)) {
        const double chain = queue->stretch * static_cast<double>(target.longestChainMs());
        target.objective = now
                           + std::chrono::milliseconds(static_cast<std::int64_t>(chain)
                                                       + queue->targetLatencyMs);
    }
    double &mean = m_meanWork[target.request.queue];
    mean = mean > 0 ? mean + meanWeight * (target.estimatedWork() - mean) : target.estimatedWork();
    target.submissionChanged = true;
    m_changed.push_back(&target);
    m_jobs[target.request.id] = std::move(added);
    m_open.push_back(&target);
    addDueOccurrences(target, wallMs);
    return target;
}

void scheduler::initializeOccurrence(job &target, std::uint32_t number)
{
    occurrence added;
    added.number = number;
    added.steps.resize(target.request.spec->steps.size());
    for (std::size_t i = 0; i < added.steps.size(); ++i) {
        const std::uint32_t count = target.request.spec->steps[i]->count;
        added.steps[i].tasks.resize(count);
        added.steps[i].waiting = count;
    }
    target.occurrences.push_back(std::move(added));
    m_passNeeded = true;
}

void scheduler::addDueOccurrences(job &target, std::int64_t wallMs)
{
    const job_spec &spec = *target.request.spec;
    while (!target.ended() && target.occurrences.size() < target.occurrenceCount()) {
        const auto number = static_cast<std::uint32_t>(target.occurrences.size());
        if (spec.occurrences > 0 && wallMs < spec.firstRunMs + number * spec.intervalMs)
            return;
        initializeOccurrence(target, number);
    }
}

void scheduler::applyProgress(job &target, const progress &record)
{
    target.outcome = static_cast<job_outcome>(record.outcome);
    target.endedMs = record.endedMs;
    for (const auto &stored : record.tasks) {
        while (target.occurrences.size() <= stored->occurrence)
            initializeOccurrence(target, static_cast<std::uint32_t>(target.occurrences.size()));
        occurrence &within = target.occurrences[stored->occurrence];
        if (stored->step >= within.steps.size()
            || stored->index >= within.steps[stored->step].tasks.size())
            continue;
        step_run &step = within.steps[stored->step];
        task &item = step.tasks[stored->index];
        item.phase = static_cast<task_phase>(stored->phase);
        item.run = stored->run;
        item.failures = stored->failures;
        item.place = { stored->worker, stored->workerStartMs };
        item.checkpoint = stored->checkpoint;
        target.started = target.started || item.run > 0;
        if (item.phase != task_phase::waiting)
            --step.waiting;
        if (item.phase == task_phase::done)
            ++step.done;
        target.begun = target.begun || item.phase == task_phase::done;
        if (item.phase != task_phase::active)
            continue;
        ++step.active;
        auto &where = m_workers[item.place];
        if (!where) {
            where = std::make_unique<worker>();
            where->key = item.place;
            where->agent = stored->node;
        }
        const step_spec &spec = target.stepSpec(stored->step);
        const task_name name{ target.request.id, stored->occurrence, stored->step, stored->index };
        where->hold(name.text(), allocationFor(spec, item.run));
    }
    for (occurrence &within : target.occurrences) {
        within.doneSteps = static_cast<std::uint32_t>(
                std::count_if(within.steps.begin(), within.steps.end(),
                              [](const step_run &step) { return step.done == step.tasks.size(); }));
    }
}

progress scheduler::progressOf(const job &target) const
{
    progress record;
    record.outcome = static_cast<std::uint8_t>(target.outcome);
    record.endedMs = target.endedMs;
    for (const occurrence &within : target.occurrences) {
        for (std::uint32_t step = 0; step < within.steps.size(); ++step) {
            const auto &tasks = within.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const task &item = tasks[index];
                const bool inUse = item.phase == task_phase::active;
                if (item.run == 0 || (target.ended() && !inUse))
                    continue;
                auto stored = std::make_unique<task_progress>();
                stored->occurrence = within.number;
                stored->step = step;
                stored->index = index;
                stored->phase = static_cast<std::uint8_t>(item.phase);
                stored->run = item.run;
                stored->failures = item.failures;
                if (inUse) {
                    stored->worker = item.place.id;
                    stored->workerStartMs = item.place.startMs;
                    const auto where = m_workers.find(item.place);
                    if (where != m_workers.end())
                        stored->node = where->second->agent;
                }
                if (item.phase != task_phase::done)
                    stored->checkpoint = item.checkpoint;
                record.tasks.push_back(std::move(stored));
            }
        }
    }
    return record;
}

void scheduler::stepDone(job &target, occurrence &within)
{
    ++within.doneSteps;
    m_passNeeded = true;
    if (target.occurrences.size() < target.occurrenceCount())
        return;
    const bool complete =
            std::all_of(target.occurrences.begin(), target.occurrences.end(),
                        [](const occurrence &each) { return each.doneSteps == each.steps.size(); });
    if (complete)
        endJob(target, job_outcome::completed);
}

void scheduler::endJob(job &target, job_outcome outcome)
{
    target.outcome = outcome;
    markChanged(target);
    m_open.erase(std::remove(m_open.begin(), m_open.end(), &target), m_open.end());
    m_passNeeded = true;
    for (occurrence &within : target.occurrences) {
        for (std::uint32_t step = 0; step < within.steps.size(); ++step) {
            auto &tasks = within.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                task &item = tasks[index];
                if (item.phase == task_phase::waiting) {
                    item.phase = task_phase::dropped;
                    --within.steps[step].waiting;
                } else if (item.phase == task_phase::active) {
                    const auto where = m_workers.find(item.place);
                    const task_name name{ target.request.id, within.number, step, index };
                    if (where != m_workers.end())
                        orderStop(*where->second, name.text(), item.run);
                }
            }
        }
    }
    m_advice.removeJob(target.request.id);
    log(log_level::info, "job_ended",
        { { "job", target.request.id },
          { "outcome", outcome == job_outcome::completed ? "completed"
                       : outcome == job_outcome::failed  ? "failed"
                                                         : "cancelled" } });
}

void scheduler::removeOldJobs(std::int64_t wallMs)
{
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.keepEnded);
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const job &target = *entry->second;
        const bool unused = target.ended() && target.endedMs > 0 && !target.progressChanged
                            && wallMs - target.endedMs > keep.count();
        if (!unused) {
            ++entry;
            continue;
        }
        m_removedKeys.push_back(target.request.id);
        entry = m_jobs.erase(entry);
    }
}

void scheduler::answer(const std::string &node, std::uint64_t number, call_outcome outcome,
                       const job *about, bool afterCommit)
{
    client_answer result;
    result.number = number;
    result.outcome = static_cast<std::uint8_t>(outcome);
    if (about)
        result.state = static_cast<std::uint8_t>(about->shown);
    auto &target = afterCommit ? m_staged.messages : m_messages;
    target.push_back({ node, makeMessage(result) });
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
    if (!m_loaded || m_config.version == 0) {
        refuse(node, call, "no_configuration", notReadyRetry);
        return;
    }
    const job *known = findJob(call.job);
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
    if (!call.submitted || !call.submitted->spec) {
        answer(node, call.number, call_outcome::rejected, nullptr, false);
        return;
    }
    const job *known = findJob(call.job);
    if (!known && m_storeFailedSince && now - *m_storeFailedSince >= storeDownAfter) {
        const duration outage = now - *m_storeFailedSince;
        refuse(node, call, "store_down",
               std::clamp<duration>(outage, shortestOutageRetry, longestOutageRetry));
        return;
    }
    if (!known) {
        known = &addJob(*call.submitted, now, wallMs);
        log(log_level::info, "job_accepted",
            { { "job", call.job },
              { "queue", call.submitted->queue },
              { "steps", describeSteps(*call.submitted->spec) },
              { "config", std::to_string(m_config.version) } });
    }
    answer(node, call.number, call_outcome::done, known, !known->stored);
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
