#include "limit_in_turn.h"
#include "plantainpitch/sched/scheduler.h"
#include "share_in_use.h"

#include <algorithm>
#include <tuple>

namespace plantainpitch::sched {

namespace {

/// A job stands still if none of its tasks has been active for this long though one could start.
/// Work that waits for three seconds beside free capacity counts as lost; the rest of that time is
/// for the next pass, the order and the start.
constexpr std::chrono::milliseconds standsStillAfter{ 2'000 };
/// While more of a service is in use, its jobs wait for capacity rather than for a way around
/// exclusions and kept workers.
constexpr double maxShareInUse = 0.5;
/// Jobs considered per pass, half of them those that have stood still longest; bounds the duration
/// of a pass.
constexpr std::size_t maxJobsPerPass = 100;

} // namespace

/// Whether less than half of what the service's workers have is reserved or used by filling tasks.
bool scheduler::isMostlyFree(const std::string &service) const
{
    return detail::shareInUse(m_workers, service) < maxShareInUse;
}

/// Starts a task of each job that stands still in a mostly free service, if need be on a worker
/// that other work is kept from. Exclusions and kept workers are to spread work well; a job must
/// not wait for their ends without a bound.
void scheduler::placeStandingJobs(instant now)
{
    std::vector<std::pair<job *, const queue_config *>> standing;
    std::map<std::string, bool> mostlyFree;
    for (job *job : m_open) {
        const queue_config *queue = queueOf(*job);
        if (!queue || now - job->lastActive < standsStillAfter || job->isActive()
            || !job->hasStartableTask())
            continue;
        const auto [found, added] = mostlyFree.try_emplace(queue->service);
        if (added)
            found->second = isMostlyFree(queue->service);
        if (found->second)
            standing.emplace_back(job, queue);
    }
    std::sort(standing.begin(), standing.end(), [](const auto &a, const auto &b) {
        return std::tie(a.first->lastActive, a.first->request.id)
               < std::tie(b.first->lastActive, b.first->request.id);
    });
    detail::limitInTurn(standing, maxJobsPerPass, m_nextStandingTurn,
                        [](const auto &) { return false; });
    const placement_terms terms{ .starved = true, .mayUseExcluded = true, .mayUseKept = true };
    for (const auto &[job, queue] : standing) {
        placeSteps(*job, *queue, terms, now);
        if (!job->isActive())
            continue;
        using std::chrono::milliseconds;
        const auto stood = std::chrono::duration_cast<milliseconds>(now - job->lastActive);
        job->lastActive = now;
        log(log_level::info, "standing_job_placed",
            { { "job", job->request.id }, { "stood_ms", std::to_string(stood.count()) } });
    }
}

} // namespace plantainpitch::sched
