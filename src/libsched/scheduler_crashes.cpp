#include "plantainpitch/sched/crash_suspects.h"
#include "plantainpitch/sched/scheduler.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

/// A trial starts only where nothing else was ordered to start for this long, so that a crash right
/// after its start has one suspect.
constexpr milliseconds quietBeforeTrial{ 250 };
/// A run that was first reported as running this long ago and still is has been at work for half a
/// second: a report may be a second old.
constexpr milliseconds trialDuration{ 1'500 };
/// Of a crash that no agent saw, the runs that were first reported this long before the last report
/// are no suspects.
constexpr milliseconds suspicionWindow{ 500 };
/// Of the usable workers of a service, one in this many hosts a trial at the same time.
constexpr std::int64_t workersPerTrial = 3;
/// A task that has waited this long for its trial is tried without regard to the number of trials
/// and to what has just begun.
constexpr milliseconds maxTrialWait{ 3'000 };
/// Of the usable workers of a service, at least one in this many hosts no trial, however long tasks
/// wait for theirs: a worker that hosts one takes nothing else.
constexpr std::ptrdiff_t workersPerTrialFreeWorker = 3;
/// Reports of workers that crashed at the same moment arrive within this time.
constexpr milliseconds decisionDelay{ 250 };
/// Crashes that are at most this far apart have one cause if none of the workers hosted a trial.
constexpr milliseconds coincidenceWindow{ 200 };
/// Two more workers that crash at the same moment point to a rack or a switch.
constexpr std::ptrdiff_t coincidingCrashes = 2;
/// Crashes of one worker, none of which points to a task, after which it may be at fault itself.
constexpr std::ptrdiff_t crashesOfFaultyWorker = 2;
/// Agents repeat what they have seen for half a minute.
constexpr std::chrono::seconds crashesKeptFor{ 60 };
/// Suspects named in one log line.
constexpr std::size_t maxLoggedSuspects = 5;

} // namespace

/// Returns what the task starts together with: itself, or its gang.
std::string scheduler::unitOf(const task_location &location, const std::string &name)
{
    const auto parsed = task_name::parse(name);
    const bool inGang =
            location.parentJob && parsed && location.parentJob->stepSpec(parsed->step).gang;
    return inGang ? parsed->stepText() : name;
}

/// Counts a crash against the tasks that may have caused it. A repeated report changes nothing.
void scheduler::onWorkerCrash(const worker_crash &crash, instant now)
{
    const worker_key key{ crash.worker, crash.startMs };
    const bool seen = std::any_of(m_crashes.begin(), m_crashes.end(),
                                  [&key](const seen_crash &each) { return each.worker == key; });
    std::vector<run_at_crash> runs;
    std::vector<task_location> locations;
    bool counted = seen;
    for (const auto &each : crash.runs) {
        task_location location = findTask(each->task);
        if (location.taskState && location.taskState->run < each->run)
            location = {};
        const task *state = location.taskState;
        // All suspects of a crash are stored together, by this owner or an earlier one.
        counted = counted || (state && state->crashedRun == each->run);
        runs.push_back({ .age = milliseconds(each->ageMs),
                         .trial = state && state->needsTrial() && each->run > state->crashedRun,
                         .unit = unitOf(location, each->task) });
        locations.push_back(location);
    }
    if (counted)
        return;
    const crash_suspects suspects = findCrashSuspects(runs);
    const instant at = now - milliseconds(crash.msAgo);
    const seen_crash entry{ .worker = key, .at = at, .conclusive = suspects.conclusive() };
    m_crashes.push_back(entry);
    logCrash(crash, suspects);
    for (const std::size_t index : suspects.runs) {
        if (locations[index].taskState && !locations[index].parentJob->ended())
            suspect(locations[index], *crash.runs[index], entry, now);
    }
}

/// Counts the crash of a worker whose agent ended before it could report it. The suspects are the
/// runs that had just begun, or were never reported. It is weak evidence: when the worker crashed,
/// and so how long they had been there, is not known.
void scheduler::countUnreportedCrash(const worker &crashed, instant now)
{
    const bool reported =
            std::any_of(m_crashes.begin(), m_crashes.end(),
                        [&crashed](const seen_crash &each) { return each.worker == crashed.key; });
    const bool known = crashed.lastReport != instant{}; // else it is from the store
    if (reported || (known && !crashed.ready))
        return;
    const seen_crash entry{ .worker = crashed.key, .at = now, .unreported = true };
    std::size_t suspects = 0;
    for (const auto &[name, allocation] : crashed.runs) {
        const task_location location = findTask(name);
        if (!location.taskState || location.parentJob->ended()
            || location.taskState->phase != task_phase::active
            || location.taskState->run != allocation.run
            || location.taskState->place != crashed.key)
            continue;
        const task &task = *location.taskState;
        if (task.reported && crashed.lastReport - task.runningSince >= suspicionWindow)
            continue;
        crashed_run run;
        run.task = name;
        run.run = allocation.run;
        suspect(location, run, entry, now);
        ++suspects;
    }
    if (suspects == 0)
        return;
    m_crashes.push_back(entry);
    log(log_level::warning, "worker_crash_unreported",
        { { "worker", crashed.key.id },
          { "start_ms", std::to_string(crashed.key.startMs) },
          { "runs", std::to_string(crashed.runs.size()) },
          { "suspects", std::to_string(suspects) } });
}

void scheduler::suspect(const task_location &location, const crashed_run &run,
                        const seen_crash &crash, instant now)
{
    task &task = *location.taskState;
    if (run.run <= task.crashedRun)
        return;
    ++task.crashes;
    task.crashedRun = run.run;
    task.crashedAt = now;
    // Nothing starts before the decision.
    task.retryAt = std::max(task.retryAt, now + decisionDelay);
    m_pendingDecisions.push_back({ .task = run.task,
                                   .worker = crash.worker,
                                   .conclusive = crash.conclusive,
                                   .mayHaveCoincided = crash.unreported,
                                   .crashedAt = crash.at,
                                   .due = now + decisionDelay });
    markChanged(*location.parentJob);
    log(log_level::warning, "task_suspected",
        { { "task", run.task },
          { "run", std::to_string(run.run) },
          { "worker", crash.worker.id },
          { "crashes", std::to_string(task.crashes) },
          { "conclusive", crash.conclusive ? "yes" : "no" } });
}

bool scheduler::coincidesWithOthers(const pending_decision &decision) const
{
    return std::count_if(m_crashes.begin(), m_crashes.end(),
                         [&decision](const seen_crash &other) {
                             return !other.conclusive && !(other.worker == decision.worker)
                                    && std::chrono::abs(other.at - decision.crashedAt)
                                               <= coincidenceWindow;
                         })
           >= coincidingCrashes;
}

/// Gives up the tasks that are shown to crash their workers. Waits for reports of other workers
/// that crashed at the same moment.
void scheduler::decideOnSuspects(instant now)
{
    std::erase_if(m_crashes,
                  [now](const seen_crash &each) { return now - each.at > crashesKeptFor; });
    std::vector<pending_decision> due;
    std::erase_if(m_pendingDecisions, [&](const pending_decision &each) {
        if (each.due > now)
            return false;
        due.push_back(each);
        return true;
    });
    for (const pending_decision &each : due) {
        const task_location location = findTask(each.task);
        if (!location.taskState || location.parentJob->ended())
            continue;
        task &task = *location.taskState;
        const bool coincides = each.mayHaveCoincided || coincidesWithOthers(each);
        if (task.suspected() && each.conclusive && !coincides) {
            ++task.conclusiveCrashes;
            markChanged(*location.parentJob);
        }
        if (!isGivenUp({ .crashes = task.crashes,
                         .conclusive = task.conclusiveCrashes,
                         .coincides = coincides }))
            continue;
        log(log_level::error, "task_given_up",
            { { "task", each.task },
              { "crashes", std::to_string(task.crashes) },
              { "conclusive", std::to_string(task.conclusiveCrashes) },
              { "last_worker", task.place.id } });
        endJob(*location.parentJob, job_outcome::failed);
    }
}

/// Queues a decision on each task that an earlier owner has counted crashes against.
void scheduler::decideOnLoadedSuspects(instant now)
{
    for (const job *job : m_open) {
        for (const occurrence &occurrence : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto &tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (!tasks[index].suspected())
                        continue;
                    const task_name name{ job->request.id, occurrence.number, step, index };
                    m_pendingDecisions.push_back({ .task = name.text(),
                                                   .mayHaveCoincided = true,
                                                   .crashedAt = now,
                                                   .due = now });
                }
            }
        }
    }
}

/// Ends the suspicion of a task whose worker has survived its start.
void scheduler::clearSuspicion(const task_location &location, worker &worker,
                               const std::string &name)
{
    worker.endTrial(name);
    m_passNeeded = true;
    if (!location.taskState->suspected())
        return;
    log(log_level::info, "task_cleared",
        { { "task", name },
          { "worker", worker.key.id },
          { "crashes", std::to_string(location.taskState->crashes) } });
    location.taskState->crashes = 0;
    location.taskState->conclusiveCrashes = 0;
    markChanged(*location.parentJob);
}

/// Clears the suspicion if the report shows that the run has been at work for long enough.
void scheduler::endTrialIfPassed(const task_location &location, worker &worker,
                                 const std::string &name, instant now)
{
    if (location.taskState->suspected() && now - location.taskState->runningSince >= trialDuration)
        clearSuspicion(location, worker, name);
}

/// To be called at the beginning of a pass.
void scheduler::countTrialPlaces()
{
    std::map<std::string, std::int64_t> usable;
    std::map<std::string, std::int64_t> trials;
    for (const auto &[key, worker] : m_workers) {
        usable[worker->service] += worker->isUsable() ? 1 : 0;
        trials[worker->service] += worker->trials;
    }
    m_trialPlaces.clear();
    for (const auto &[service, workers] : usable)
        m_trialPlaces[service] =
                std::max<std::int64_t>(1, workers / workersPerTrial) - trials[service];
}

/// Returns those of the workers on which a trial may begin, the one with the fewest runs first, as
/// these are lost if it crashes.
std::vector<worker *> scheduler::trialWorkers(std::vector<worker *> eligible, const task &task,
                                              instant now) const
{
    if (eligible.empty())
        return {};
    const bool waitedLong = now - task.crashedAt >= maxTrialWait;
    const auto places = m_trialPlaces.find(eligible.front()->service);
    if ((places == m_trialPlaces.end() || places->second <= 0) && !waitedLong)
        return {};
    std::ptrdiff_t usable = 0;
    std::ptrdiff_t freeOfTrials = 0;
    for (const auto &[key, worker] : m_workers) {
        if (worker->service != eligible.front()->service || !worker->isUsable())
            continue;
        ++usable;
        freeOfTrials += worker->trials > 0 ? 0 : 1;
    }
    const std::ptrdiff_t keptFree =
            usable < 2 ? 0 : (usable + workersPerTrialFreeWorker - 1) / workersPerTrialFreeWorker;
    if (freeOfTrials <= keptFree)
        return {};
    std::erase_if(eligible, [&](const worker *each) {
        return each->trials > 0 || (!waitedLong && now - each->lastStart < quietBeforeTrial);
    });
    // Another worker than the last time, in case that one was at fault.
    const auto rank = [&](const worker *each) {
        return std::pair(each->key.id == task.place.id || crashesOften(*each), each->runs.size());
    };
    std::stable_sort(eligible.begin(), eligible.end(),
                     [&rank](const worker *a, const worker *b) { return rank(a) < rank(b); });
    return eligible;
}

bool scheduler::crashesOften(const worker &worker) const
{
    return std::count_if(m_crashes.begin(), m_crashes.end(),
                         [&worker](const seen_crash &each) {
                             return !each.conclusive && each.worker.id == worker.key.id;
                         })
           >= crashesOfFaultyWorker;
}

/// Returns those of the workers on which the next run of a suspected task may start. One that needs
/// no trial goes to a worker on which nothing has just begun, so that its crash would have one
/// suspect, but does not wait for such a worker.
std::vector<worker *> scheduler::workersForSuspect(std::vector<worker *> eligible, const task &task,
                                                   instant now) const
{
    if (task.needsTrial())
        return trialWorkers(std::move(eligible), task, now);
    std::vector<worker *> quiet = eligible;
    std::erase_if(quiet, [&](const worker *each) {
        return now - each->lastStart < quietBeforeTrial || each->key.id == task.place.id
               || crashesOften(*each);
    });
    return quiet.empty() ? eligible : quiet;
}

worker *scheduler::chooseForSuspect(std::vector<worker *> eligible, const step_spec &step,
                                    const task &task, instant now) const
{
    const auto workers = workersForSuspect(std::move(eligible), task, now);
    if (!task.needsTrial())
        return m_placement.choose(workers, step, task);
    return workers.empty() ? nullptr : workers.front();
}

void scheduler::logCrash(const worker_crash &crash, const crash_suspects &suspects)
{
    std::string names;
    for (std::size_t i = 0; i < std::min(suspects.runs.size(), maxLoggedSuspects); ++i) {
        const crashed_run &run = *crash.runs[suspects.runs[i]];
        names += (i > 0 ? "," : "") + run.task + '/' + std::to_string(run.run) + ":"
                 + std::to_string(run.ageMs) + "ms";
    }
    log(log_level::warning, "worker_crashed",
        { { "worker", crash.worker },
          { "start_ms", std::to_string(crash.startMs) },
          { "ms_ago", std::to_string(crash.msAgo) },
          { "runs", std::to_string(crash.runs.size()) },
          { "suspects", std::to_string(suspects.runs.size()) },
          { "conclusive", suspects.conclusive() ? "yes" : "no" },
          { "suspected", names } });
}

} // namespace plantainpitch::sched
