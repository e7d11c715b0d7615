#pragma once

#include "plantainpitch/model/instant.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Progress of a batch run at a listing.
struct run_progress
{
    std::string task;
    std::string job;
    double doneMs = 0; ///< completed part of its estimated run time
    std::optional<double> pace = 1; ///< share of full speed that it may use; none if not known
    double estimateMs = 0; ///< estimated run time

    bool operator==(const run_progress &) const = default;
};

/// Compares the progress of batch runs on one worker with their estimates, to detect workers that
/// are slow or stalled but still answer calls. Such a worker always has free capacity, so it would
/// attract more work than the others.
class progress_monitor
{
public:
    /// Processes a listing of all batch runs on the worker. \a at is the time of the listing, by
    /// any clock that stays the same.
    void observe(const std::vector<run_progress> &runs, instant at);
    /// A run has ended as done. Without its rest, only those of the short runs that take long would
    /// count, as most of them are listed no more than once.
    void onCompleted(const std::string &task);

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
    double m_completedMs = 0; ///< rest of the runs that have completed since the last listing
    double m_doneMs = 0; ///< exponentially weighted over the listings
    double m_expectedMs = 0;
    std::set<std::string> m_jobs; ///< at the last listing
    std::vector<std::string> m_stalled; ///< task names, at most a few
};

} // namespace plantainpitch::sched
