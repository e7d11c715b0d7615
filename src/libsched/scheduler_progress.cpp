#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/job_limits.h"
#include "plantainpitch/sched/record_keys.h"
#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <charconv>

namespace plantainpitch::sched {

namespace {

/// Between the job's id and the number of a further record.
constexpr char numberSeparator = '.';

/// An owner gives a task up after a few crashes, so a stored count above this is of no owner.
constexpr std::uint32_t maxStoredCrashes = 16;

std::string progressKey(const std::string &id, std::size_t number)
{
    std::string key = progressPrefix + id;
    if (number > 0)
        key += numberSeparator + std::to_string(number);
    return key;
}

/// Job and number of a progress record, from its key without the prefix. Throws
/// error(protocol_error).
std::pair<std::string, std::uint32_t> parseProgressKey(const std::string &text)
{
    const std::size_t separator = text.find(numberSeparator);
    if (separator == std::string::npos)
        return { text, 0 };
    std::uint32_t number = 0;
    const char *begin = text.data() + separator + 1;
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(begin, end, number);
    if (status != std::errc() || rest != end || number == 0 || number > maxProgressRecords) {
        throw error(error_kind::protocol_error,
                    "the key of a progress record ends with a number out of range",
                    "check which process wrote the record");
    }
    return { text.substr(0, separator), number };
}

/// Whether the progress of the task has to be stored.
bool isStored(const job &job, const task &task)
{
    return task.run != 0 && (!job.ended() || task.phase == task_phase::active);
}

} // namespace

void scheduler::loadProgress(const std::string &name, const std::string &value)
{
    const auto [id, number] = parseProgressKey(name);
    m_loadedProgress[id][number] = { .content = decodeProgress(value), .text = value };
}

/// Takes over a count of crashes. An impossible one leaves the task suspected, so that its next
/// crash decides, and never counts a run that is yet to come.
void scheduler::applyStoredCrashes(const job &job, task &task, const task_progress &stored)
{
    const bool possible = stored.crashes <= maxStoredCrashes && stored.crashedRun <= stored.run
                          && stored.conclusiveCrashes <= stored.crashes;
    task.crashes = stored.crashes <= maxStoredCrashes ? stored.crashes : 1;
    task.conclusiveCrashes = possible ? stored.conclusiveCrashes : 0;
    task.crashedRun = stored.crashedRun <= stored.run ? stored.crashedRun : stored.run - 1;
    if (possible)
        return;
    log(log_level::error, "crash_count_unreadable",
        { { "job", job.request.id },
          { "crashes", std::to_string(stored.crashes) },
          { "crashed_run", std::to_string(stored.crashedRun) },
          { "run", std::to_string(stored.run) } });
}

/// Returns false if the job has no such task, or if its progress was applied before.
bool scheduler::applyTaskProgress(job &job, const task_progress &stored)
{
    if (stored.run == 0 || stored.phase > static_cast<std::uint8_t>(task_phase::dropped)
        || stored.step >= job.request.spec->steps.size()
        || stored.index >= job.stepSpec(stored.step).count
        || stored.occurrence >= job.occurrenceCount())
        return false;
    while (job.occurrences.size() <= stored.occurrence) {
        if (!appendOccurrence(job, static_cast<std::uint32_t>(job.occurrences.size())))
            return false;
    }
    step_run &step = job.occurrences[stored.occurrence].steps[stored.step];
    task &task = step.tasks[stored.index];
    if (task.run != 0)
        return false;
    task.phase = static_cast<task_phase>(stored.phase);
    task.run = stored.run;
    task.failures = stored.failures;
    applyStoredCrashes(job, task, stored);
    task.crashedAt = m_takeover;
    task.orderedAt = m_takeover;
    task.place = { stored.worker, stored.workerStartMs };
    task.checkpoint = stored.checkpoint;
    job.started = true;
    if (task.phase != task_phase::waiting)
        --step.waiting;
    if (task.phase == task_phase::done)
        ++step.done;
    job.begun = job.begun || task.phase == task_phase::done;
    if (task.phase != task_phase::active)
        return true;
    ++step.active;
    auto &entry = m_workers[task.place];
    if (!entry) {
        entry = std::make_unique<worker>();
        entry->key = task.place;
        entry->agent = stored.node;
    }
    const task_name name{ job.request.id, stored.occurrence, stored.step, stored.index };
    allocation allocation = allocationFor(job.stepSpec(stored.step), task.run);
    allocation.trial = task.needsTrial();
    entry->reserve(name.text(), allocation);
    return true;
}

void scheduler::applyProgress(job &job, std::map<std::uint32_t, loaded_progress> &records)
{
    std::size_t skipped = 0;
    // Earlier releases kept all tasks in the first record, so what a further one has is newer.
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        for (const auto &stored : record->second.content.tasks)
            skipped += applyTaskProgress(job, *stored) ? 0 : 1;
    }
    bool knownOutcome = true;
    if (const auto first = records.find(0); first != records.end()) {
        const progress &content = first->second.content;
        knownOutcome = content.outcome <= static_cast<std::uint8_t>(job_outcome::cancelled);
        if (knownOutcome)
            job.outcome = static_cast<job_outcome>(content.outcome);
        job.endedMs = content.endedMs;
    }
    if (!records.empty())
        job.furtherProgress.resize(records.rbegin()->first);
    for (auto &[number, record] : records) {
        if (number > 0)
            job.furtherProgress[number - 1] = std::move(record.text);
    }
    if (skipped > 0 || !knownOutcome) {
        log(log_level::error, "progress_unreadable",
            { { "job", job.request.id },
              { "skipped_tasks", std::to_string(skipped) },
              { "known_outcome", knownOutcome ? "yes" : "no" } });
    }
    for (occurrence &occurrence : job.occurrences) {
        occurrence.doneSteps = static_cast<std::uint32_t>(
                std::count_if(occurrence.steps.begin(), occurrence.steps.end(),
                              [](const step_run &step) { return step.done == step.tasks.size(); }));
    }
}

std::unique_ptr<task_progress> scheduler::progressOf(const task &task) const
{
    const bool active = task.phase == task_phase::active;
    auto stored = std::make_unique<task_progress>();
    stored->phase = static_cast<std::uint8_t>(task.phase);
    stored->run = task.run;
    stored->failures = task.failures;
    stored->crashes = task.crashes;
    stored->crashedRun = task.crashedRun;
    stored->conclusiveCrashes = task.conclusiveCrashes;
    // The end of a waiting task's last run may still arrive.
    if (active || task.phase == task_phase::waiting) {
        stored->worker = task.place.id;
        stored->workerStartMs = task.place.startMs;
    }
    if (active) {
        const auto found = m_workers.find(task.place);
        if (found != m_workers.end())
            stored->node = found->second->agent;
    }
    if (task.phase != task_phase::done)
        stored->checkpoint = task.checkpoint;
    return stored;
}

/// Returns the job's progress records. Each holds the tasks of one range of the job's, so that
/// none is too long for the store.
std::vector<progress> scheduler::progressOf(const job &job) const
{
    std::vector<progress> records(1);
    records[0].outcome = static_cast<std::uint8_t>(job.outcome);
    records[0].endedMs = job.endedMs;
    std::size_t position = 0;
    for (const occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const std::size_t number = position++ / tasksPerProgressRecord;
                if (!isStored(job, tasks[index]))
                    continue;
                auto stored = progressOf(tasks[index]);
                stored->occurrence = occurrence.number;
                stored->step = step;
                stored->index = index;
                if (records.size() <= number)
                    records.resize(number + 1);
                records[number].tasks.push_back(std::move(stored));
            }
        }
    }
    return records;
}

/// Adds the first progress record of the job and those of the further ones that have changed.
void scheduler::addProgressRecords(job &job, std::vector<stored_record> &records)
{
    std::vector<progress> content = progressOf(job);
    content.resize(std::max(content.size(), job.furtherProgress.size() + 1));
    job.furtherProgress.resize(content.size() - 1);
    const stored_record first{ progressKey(job.request.id, 0), encodeProgress(content[0]) };
    // A batch may be stored in several calls. An ended job's further records leave out tasks that
    // are done, so they must not be stored before its outcome. The tasks that the first record of
    // an earlier release holds must not be removed before they are in further ones.
    if (job.ended())
        records.push_back(first);
    for (std::size_t number = 1; number < content.size(); ++number) {
        const progress &each = content[number];
        std::string value = each.tasks.empty() ? std::string() : encodeProgress(each);
        std::string &stored = job.furtherProgress[number - 1];
        if (value == stored)
            continue;
        records.push_back({ progressKey(job.request.id, number), value });
        stored = std::move(value);
    }
    if (!job.ended())
        records.push_back(first);
}

/// Adds the removal of the job's progress records.
void scheduler::removeProgressRecords(const job &job)
{
    m_removedKeys.push_back(progressKey(job.request.id, 0));
    for (std::size_t number = 1; number <= job.furtherProgress.size(); ++number) {
        if (!job.furtherProgress[number - 1].empty())
            m_removedKeys.push_back(progressKey(job.request.id, number));
    }
}

} // namespace plantainpitch::sched
