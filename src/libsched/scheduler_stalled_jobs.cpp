#include "plantainpitch/sched/scheduler.h"
#include "share_in_use.h"

#include <algorithm>
#include <tuple>

namespace plantainpitch::sched {

namespace {

/// A job stands still if none of its tasks has been active for this long though one could start.
/// Work that waits for three seconds beside free capacity counts as lost; the rest of that time is
/// for the next pass, the order and the start.
constexpr std::chrono::milliseconds stalledAfter{ 2'000 };
/// While more of a service is in use, its jobs wait for capacity rather than for a way around
/// exclusions and kept workers.
constexpr double maxShareInUse = 0.5;
/// Looks at all workers per pass; bounds its duration. Half of them are for the jobs that have
/// stood still longest, the others for the younger ones in turn, as the oldest may fit nowhere.
constexpr std::size_t maxSearchesPerPass = 100;

} // namespace

/// Whether less than half of what the service's workers have is reserved.
bool scheduler::isMostlyFree(const std::string &service) const
{
    return detail::shareInUse(m_workers, service) < maxShareInUse;
}

/// Starts a task of the jobs that stand still in a mostly free service, if need be on a worker that
/// other work is kept from. Exclusions protect the attempts of tasks, and kept workers late jobs; a
/// job must not wait for their ends for longer. \a draining: no jobs come, so that each job without
/// a run gets one at once, beside filling tasks if need be. \a starved: little headroom is enough
/// for the tasks.
void scheduler::placeStalledJobs(bool draining, bool starved, instant now)
{
    const duration idleFor = draining ? duration::zero() : duration(stalledAfter);
    std::vector<job *> stalled;
    std::map<std::string, bool> mostlyFree;
    for (job *job : m_open) {
        const queue_config *queue = queueOf(*job);
        if (!queue || now - job->lastActive < idleFor || job->isActive()
            || !job->hasStartableTask())
            continue;
        const auto [found, added] = mostlyFree.try_emplace(queue->service);
        if (added)
            found->second = isMostlyFree(queue->service);
        if (found->second)
            stalled.push_back(job);
    }
    std::sort(stalled.begin(), stalled.end(), [](const job *a, const job *b) {
        return std::tie(a->lastActive, a->request.id) < std::tie(b->lastActive, b->request.id);
    });
    const std::size_t searchesBefore = m_workerSearches;
    const auto placeUpTo = [&](auto from, std::size_t maxSearches) {
        while (from != stalled.end() && m_workerSearches - searchesBefore < maxSearches)
            placeStalledJob(**from++, starved, now);
        return from;
    };
    const auto others = placeUpTo(stalled.begin(), maxSearchesPerPass / 2);
    if (others == stalled.end())
        return;
    m_nextStalledTurn %= static_cast<std::size_t>(stalled.end() - others);
    std::rotate(others, others + static_cast<std::ptrdiff_t>(m_nextStalledTurn), stalled.end());
    m_nextStalledTurn += static_cast<std::size_t>(placeUpTo(others, maxSearchesPerPass) - others);
}

void scheduler::placeStalledJob(job &job, bool starved, instant now)
{
    const queue_config &queue = *queueOf(job);
    // Earlier ones in this pass may have filled the service.
    if (!isMostlyFree(queue.service))
        return;
    const bool stalled = now - job.lastActive >= stalledAfter;
    placeSteps(job, queue,
               { .starved = starved,
                 .mayShareLeftOver = starved,
                 .mayUseExcluded = stalled,
                 .mayUseReserved = stalled },
               now);
    if (!stalled || !job.isActive())
        return;
    using std::chrono::milliseconds;
    const auto stalledFor = std::chrono::duration_cast<milliseconds>(now - job.lastActive);
    log(log_level::info, "stalled_job_placed",
        { { "job", job.request.id }, { "stalled_ms", std::to_string(stalledFor.count()) } });
}

} // namespace plantainpitch::sched
