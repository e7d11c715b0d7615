#include "plantainpitch/sched/scheduler.h"

#include <algorithm>
#include <tuple>

namespace plantainpitch::sched {

namespace {

/// A batch job is late once it has stood still for this long and its last useful end is as far
/// back. It ranks behind all other work then, so that without a place of its own it would wait for
/// as long as jobs are submitted.
constexpr std::chrono::milliseconds lateAfter{ 5'000 };
/// Late jobs get one place in this time on each worker on average, as the work that they displace
/// can still be of use.
constexpr std::chrono::milliseconds placeIntervalPerWorker{ 4'000 };
/// Late jobs considered per pass; bounds the duration of a pass.
constexpr std::size_t maxLateJobsPerPass = 100;

/// Whether the worker could hold a task of the step beside its long-running tasks once its batch
/// work has ended.
bool couldHold(const worker &candidate, const step_spec &step)
{
    const resources available = candidate.capacity - candidate.usedByLongRunning - candidate.held
                                - candidate.heldFromBatch;
    const std::int64_t batchCpu =
            candidate.used.cpu - candidate.usedByLongRunning.cpu + candidate.fillingCpu;
    return reservation(step).fitsWhereNeeded(available)
           && (!step.fills || step.cpu <= candidate.leftOverCpu() + batchCpu);
}

/// What is missing on the worker for a task of the step, as the largest share of its capacity. A
/// filling task reserves no processors, but needs left-over ones.
double shortageFor(const step_spec &step, const worker &candidate)
{
    const double reserved = candidate.shortage(reservation(step));
    if (!step.fills)
        return reserved;
    return std::max(reserved, static_cast<double>(step.cpu - candidate.leftOverCpu())
                                      / static_cast<double>(
                                              std::max<std::int64_t>(candidate.capacity.cpu, 1)));
}

} // namespace

/// Returns the late jobs that this pass considers, the one that has stood still longest first.
std::vector<job *> scheduler::findLateJobs(instant now)
{
    std::vector<job *> result;
    for (job *job : m_open) {
        if (queueOf(*job) && !job->isLongRunning() && now - job->lastActive >= lateAfter
            && now - job->lastUsefulEnd() >= lateAfter && !job->isActive()
            && job->hasStartableTask())
            result.push_back(job);
    }
    std::sort(result.begin(), result.end(), [](const job *a, const job *b) {
        return std::tie(a->lastActive, a->received, a->request.id)
               < std::tie(b->lastActive, b->received, b->request.id);
    });
    if (result.size() <= maxLateJobsPerPass)
        return result;
    // The oldest ones, the one that a worker is kept for, and the others in turn, as the oldest
    // ones may fit nowhere.
    const auto others = result.begin() + maxLateJobsPerPass / 2;
    m_nextLateTurn %= static_cast<std::size_t>(result.end() - others);
    std::rotate(others, others + static_cast<std::ptrdiff_t>(m_nextLateTurn), result.end());
    m_nextLateTurn += maxLateJobsPerPass / 2;
    const auto kept = std::find_if(others, result.end(), [this](const job *each) {
        return each->request.id == m_keptLateJob;
    });
    if (kept != result.end())
        std::rotate(others, kept, kept + 1);
    result.resize(maxLateJobsPerPass);
    return result;
}

/// Gives one late job a place before other batch work. For the first one that fits nowhere, a
/// worker is kept, because smaller tasks would otherwise take each piece of capacity that becomes
/// free.
void scheduler::placeLateJob(instant now)
{
    for (auto &[key, worker] : m_workers) {
        const job *keptFor = findJob(worker->keptForJob);
        if (!keptFor || keptFor->ended() || keptFor->isActive())
            worker->keptForJob.clear();
    }
    // Until then a worker stays kept, or it would be filled again.
    if (now < m_nextLateJob)
        return;
    for (auto &[key, worker] : m_workers)
        worker->keptForJob.clear();
    bool kept = false;
    for (job *job : findLateJobs(now)) {
        const queue_config &queue = *queueOf(*job);
        placeSteps(*job, queue, { .starved = true }, now);
        if (job->isActive()) {
            m_nextLateJob = now + placeIntervalPerWorker / m_workers.size();
            return;
        }
        if (!kept && keepWorkerFor(*job, queue, now)) {
            kept = true;
            m_keptLateJob = job->request.id;
        }
    }
}

/// Keeps the worker that is nearest to having room for a task of the job free from other batch
/// work; returns false if no worker could hold one. A gang is left out: one worker does not help
/// it.
bool scheduler::keepWorkerFor(const job &job, const queue_config &queue, instant now)
{
    worker *nearest = nullptr;
    double least = 0;
    const auto consider = [&](const step_spec &spec, const std::string &name) {
        for (const auto &[key, candidate] : m_workers) {
            if (!mayRun(*candidate, queue, spec) || candidate->excludedUntil > now
                || !couldHold(*candidate, spec)
                || (queue.needsTickets && !m_advice.ticketFor(name, key.id, now)))
                continue;
            const double shortage = shortageFor(spec, *candidate);
            if (!nearest || shortage < least) {
                nearest = candidate.get();
                least = shortage;
            }
        }
    };
    for (const occurrence &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const step_spec &spec = job.stepSpec(step);
            if (!spec.gang && occurrence.steps[step].waiting > 0
                && job.dependenciesDone(occurrence, step))
                consider(spec, task_name{ job.request.id, occurrence.number, step, 0 }.stepText());
        }
    }
    if (nearest)
        nearest->keptForJob = job.request.id;
    return nearest != nullptr;
}

} // namespace plantainpitch::sched
