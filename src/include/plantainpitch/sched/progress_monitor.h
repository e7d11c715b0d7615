#pragma once

#include "plantainpitch/model/instant.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Progress of a batch run at a report.
struct run_progress
{
    std::string task;
    std::string job;
    double doneMs = 0; ///< completed part of its estimated run time
    std::optional<double> pace = 1; ///< share of full speed that it may use; none if not known

    bool operator==(const run_progress &) const = default;
};

/// Compares the progress of batch runs on one worker with their estimates, to detect workers that
/// are slow or stalled but still answer calls. Such a worker always has free capacity, so it would
/// attract more work than the others.
class progress_monitor
{
public:
    /// Processes a report with all batch runs on the worker.
    void observe(const std::vector<run_progress> &runs, instant now);

    /// Returns the run's pace at the last report; none if it is not known.
    [[nodiscard]] std::optional<double> lastPace(const std::string &task) const;
    /// Returns the ratio of completed to expected work; 1 if there is too little data.
    [[nodiscard]] double speed() const;
    /// Returns whether runs of several jobs are slow, or all runs are stalled.
    [[nodiscard]] bool isSlow() const;
    /// Returns some of the runs that made no progress between the last two reports.
    [[nodiscard]] const std::vector<std::string> &stalledRuns() const { return m_stalled; }

private:
    std::map<std::string, run_progress> m_last; ///< by task
    instant m_lastAt{};
    double m_doneMs = 0; ///< exponentially weighted over the reports
    double m_expectedMs = 0;
    std::set<std::string> m_jobs; ///< at the last report
    std::vector<std::string> m_stalled; ///< task names, at most a few
};

} // namespace plantainpitch::sched
