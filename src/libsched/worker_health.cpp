#include "plantainpitch/sched/worker_health.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// One run in twenty fails by chance, so three jobs in a row are one chance in 8,000.
constexpr std::size_t jobsBeforeExclusion = 3;
constexpr std::chrono::seconds firstExclusion{ 3 };
constexpr std::uint32_t maxDoublings = 3;
/// Older failures are forgotten. On a worker that runs only services no completed run clears them,
/// and single failures of services would add up over hours. Longer than a worker that fails
/// everything needs to fail again after an exclusion.
constexpr std::chrono::seconds evidenceValidity{ 30 };
/// Least time from a start or failure on an excluded worker to the next start there.
constexpr std::chrono::milliseconds tryInterval{ 1'000 };
/// An excluded worker gets the last attempt of a task only if nothing has failed there for this
/// long. Shorter than the three seconds that a job may stand still beside free capacity.
constexpr std::chrono::milliseconds lastAttemptPause{ 2'500 };

void forgetOldFailures(worker &worker, instant now)
{
    std::erase_if(worker.failedJobs,
                  [now](const job_failure &each) { return now - each.at >= evidenceValidity; });
    if (worker.failedJobs.empty())
        worker.exclusions = 0;
}

} // namespace

void recordFailure(worker &worker, const std::string &job, instant now)
{
    forgetOldFailures(worker, now);
    worker.lastFailure = now;
    const auto known = std::find_if(worker.failedJobs.begin(), worker.failedJobs.end(),
                                    [&job](const job_failure &each) { return each.job == job; });
    if (known != worker.failedJobs.end()) {
        known->at = std::max(known->at, now);
        return;
    }
    worker.failedJobs.push_back({ .job = job, .at = now });
    if (worker.failedJobs.size() < jobsBeforeExclusion)
        return;
    worker.excludedUntil = now + firstExclusion * (1U << std::min(worker.exclusions, maxDoublings));
    ++worker.exclusions;
    worker.failureExclusionStart = now;
    worker.failureExclusionEnd = worker.excludedUntil;
    worker.exclusionReason = "failures";
    worker.exclusionCause.clear();
    for (const job_failure &each : worker.failedJobs)
        worker.exclusionCause += (worker.exclusionCause.empty() ? "" : ",") + each.job;
    // One more failure after the pause excludes the worker again.
    worker.failedJobs.resize(jobsBeforeExclusion - 1);
    for (job_failure &each : worker.failedJobs)
        each.at = worker.excludedUntil;
}

void recordSuccess(worker &worker, instant orderedAt, instant now)
{
    worker.failedJobs.clear();
    worker.exclusions = 0;
    const bool excludedForFailures =
            worker.excludedUntil > now && worker.excludedUntil == worker.failureExclusionEnd;
    if (!excludedForFailures || orderedAt < worker.failureExclusionStart)
        return;
    worker.excludedUntil = now;
    worker.failureExclusionStart = worker.failureExclusionEnd = {};
}

bool exclusionEndedByRun(const worker &worker)
{
    return worker.exclusionReason == "failures" && worker.failureExclusionEnd == instant{};
}

bool mayTry(const worker &worker, instant now)
{
    return now - std::max(worker.lastStart, worker.lastFailure) >= tryInterval;
}

bool mayTryWithFailures(const worker &worker, std::uint32_t failures, std::uint32_t maxAttempts,
                        instant now)
{
    return failures + 1 < maxAttempts || now - worker.lastFailure >= lastAttemptPause;
}

} // namespace plantainpitch::sched
