#include "plantainpitch/sched/progress_monitor.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of earlier reports.
constexpr double historyWeight = 0.4;
/// Less expected run time than this is too little data.
constexpr double minExpectedMs = 900;
/// Single estimates are off by a factor of up to three; the average on a sound worker by much less.
constexpr double slowSpeed = 0.3;
/// A single slow job may be the cause itself; a stalled one indicates the worker.
constexpr double stalledSpeed = 0.02;
constexpr std::size_t minJobsForSlow = 2;
/// Stalled runs that are kept for log lines.
constexpr std::size_t maxStalledRuns = 5;
/// Runs with a lower pace are ignored: they progress too little to be measured.
constexpr double minPace = 0.5;

/// Listings are at most this far apart; a longer gap, or a clock that was set back, is that of
/// another process.
constexpr double maxGapMs = 5'000;

/// Workers report progress in whole percent.
constexpr double progressSteps = 100;

/// Whether the listings show the progress that the run makes in \a elapsedMs.
bool showsProgress(const run_progress &run, double elapsedMs)
{
    return run.estimateMs <= progressSteps * elapsedMs;
}

bool isMeasurable(const run_progress &run)
{
    return run.pace && *run.pace >= minPace;
}

} // namespace

void progress_monitor::onCompleted(const std::string &task)
{
    const auto listed = m_last.find(task);
    if (listed != m_last.end() && isMeasurable(listed->second))
        m_completedMs += std::max(0.0, listed->second.estimateMs - listed->second.doneMs);
}

void progress_monitor::observe(const std::vector<run_progress> &runs, instant at)
{
    const double elapsedMs = milliseconds(at - m_lastAt).count();
    if (elapsedMs <= 0 || elapsedMs > maxGapMs)
        m_last.clear();
    double doneMs = m_completedMs;
    double expectedMs = m_completedMs;
    m_completedMs = 0;
    std::set<std::string> jobs;
    std::map<std::string, run_progress> present;
    m_stalled.clear();
    for (const run_progress &each : runs) {
        const auto before = m_last.find(each.task);
        if (before != m_last.end() && isMeasurable(before->second) && isMeasurable(each)
            && showsProgress(each, elapsedMs)) {
            doneMs += std::max(0.0, each.doneMs - before->second.doneMs);
            expectedMs += elapsedMs * *each.pace;
            jobs.insert(each.job);
            if (each.doneMs <= before->second.doneMs && m_stalled.size() < maxStalledRuns)
                m_stalled.push_back(each.task);
        }
        present[each.task] = each;
    }
    m_last = std::move(present);
    m_lastAt = at;
    if (runs.empty()) {
        m_doneMs = 0;
        m_expectedMs = 0;
        m_jobs.clear();
        return;
    }
    // Reports without a run that can be measured count as well: earlier evidence fades.
    m_doneMs = historyWeight * m_doneMs + doneMs;
    m_expectedMs = historyWeight * m_expectedMs + expectedMs;
    if (expectedMs > 0)
        m_jobs = std::move(jobs);
}

std::optional<double> progress_monitor::lastPace(const std::string &task) const
{
    const auto found = m_last.find(task);
    return found == m_last.end() ? std::nullopt : found->second.pace;
}

double progress_monitor::speed() const
{
    return m_expectedMs < minExpectedMs ? 1 : m_doneMs / m_expectedMs;
}

bool progress_monitor::isSlow() const
{
    return speed() < stalledSpeed || (speed() < slowSpeed && m_jobs.size() >= minJobsForSlow);
}

} // namespace plantainpitch::sched
