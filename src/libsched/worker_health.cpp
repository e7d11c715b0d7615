#include "plantainpitch/sched/worker_health.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// One run in twenty fails by chance, so three jobs in a row are one chance in 8,000.
constexpr std::size_t jobsBeforeAvoiding = 3;
constexpr std::chrono::seconds firstAvoidance{ 3 };
constexpr std::uint32_t maxDoublings = 3;

} // namespace

void noteFailure(worker &where, const std::string &job, instant now)
{
    if (std::find(where.failedJobs.begin(), where.failedJobs.end(), job) != where.failedJobs.end())
        return;
    where.failedJobs.push_back(job);
    if (where.failedJobs.size() < jobsBeforeAvoiding)
        return;
    where.avoidUntil = now + firstAvoidance * (1U << std::min(where.avoidances, maxDoublings));
    ++where.avoidances;
    // One more failure after the pause excludes the worker again.
    where.failedJobs.resize(jobsBeforeAvoiding - 1);
}

void noteSuccess(worker &where)
{
    where.failedJobs.clear();
    where.avoidances = 0;
}

} // namespace plantainpitch::sched
