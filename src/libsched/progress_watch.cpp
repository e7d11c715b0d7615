#include "plantainpitch/sched/progress_watch.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of what earlier reports showed.
constexpr double memory = 0.4;
/// Less run time than this is no evidence.
constexpr double leastEvidenceMs = 900;
/// Estimates are wrong by up to three times, sound workers by much less on average.
constexpr double slowSpeed = 0.3;
/// One job may be slow by itself; a run that does not get on at all shows the worker's state.
constexpr double stillSpeed = 0.02;
constexpr std::size_t jobsForSlow = 2;
/// Runs that are paced further down show too little.
constexpr double leastPace = 0.5;

} // namespace

void progress_watch::observe(const std::vector<run_progress> &runs, instant now)
{
    const double elapsedMs = milliseconds(now - m_lastAt).count();
    double doneMs = 0;
    double expectedMs = 0;
    std::set<std::string> jobs;
    std::map<std::string, run_progress> present;
    for (const run_progress &each : runs) {
        const auto before = m_last.find(each.task);
        if (before != m_last.end() && std::min(before->second.pace, each.pace) >= leastPace) {
            doneMs += std::max(0.0, each.doneMs - before->second.doneMs);
            expectedMs += elapsedMs * each.pace;
            jobs.insert(each.job);
        }
        present[each.task] = each;
    }
    m_last = std::move(present);
    m_lastAt = now;
    if (runs.empty()) {
        m_doneMs = 0;
        m_expectedMs = 0;
        m_jobs.clear();
        return;
    }
    if (expectedMs == 0)
        return;
    m_doneMs = memory * m_doneMs + doneMs;
    m_expectedMs = memory * m_expectedMs + expectedMs;
    m_jobs = std::move(jobs);
}

double progress_watch::lastPace(const std::string &task) const
{
    const auto found = m_last.find(task);
    return found == m_last.end() ? 1 : found->second.pace;
}

double progress_watch::speed() const
{
    return m_expectedMs < leastEvidenceMs ? 1 : m_doneMs / m_expectedMs;
}

bool progress_watch::slow() const
{
    return speed() < stillSpeed || (speed() < slowSpeed && m_jobs.size() >= jobsForSlow);
}

} // namespace plantainpitch::sched
