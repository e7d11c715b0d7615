#include "plantainpitch/sched/worker_health.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// One run in twenty fails by chance, so three jobs in a row are one chance in 8,000.
constexpr std::size_t jobsBeforeExclusion = 3;
constexpr std::chrono::seconds firstExclusion{ 3 };
constexpr std::uint32_t maxDoublings = 3;

} // namespace

void recordFailure(worker &worker, const std::string &job, instant now)
{
    if (std::find(worker.failedJobs.begin(), worker.failedJobs.end(), job)
        != worker.failedJobs.end())
        return;
    worker.failedJobs.push_back(job);
    if (worker.failedJobs.size() < jobsBeforeExclusion)
        return;
    worker.excludedUntil = now + firstExclusion * (1U << std::min(worker.exclusions, maxDoublings));
    ++worker.exclusions;
    worker.exclusionReason = "failures";
    worker.exclusionCause.clear();
    for (const std::string &each : worker.failedJobs)
        worker.exclusionCause += (worker.exclusionCause.empty() ? "" : ",") + each;
    // One more failure after the pause excludes the worker again.
    worker.failedJobs.resize(jobsBeforeExclusion - 1);
}

void recordSuccess(worker &worker)
{
    worker.failedJobs.clear();
    worker.exclusions = 0;
}

} // namespace plantainpitch::sched
