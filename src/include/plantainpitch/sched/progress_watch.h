#pragma once

#include "plantainpitch/model/instant.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// How far a batch run has come at a report.
struct run_progress
{
    std::string task;
    std::string job;
    double doneMs = 0; ///< estimated run time that it has behind it
    double pace = 1; ///< share at which it may work

    bool operator==(const run_progress &) const = default;
};

/// Measures how fast batch runs get on at one worker against their estimates, to tell workers that
/// are slow or stand still, which still answer their calls. Such a worker has room at all times, so
/// it would get more of the work than the others.
class progress_watch
{
public:
    /// All batch runs that work there, at a report.
    void observe(const std::vector<run_progress> &runs, instant now);

    /// Share at which the run might work at the last report; 1 if it was not there.
    [[nodiscard]] double lastPace(const std::string &task) const;
    /// Work done for each second of running; 1 if there is no evidence.
    [[nodiscard]] double speed() const;
    /// Runs of several jobs hardly get on, or none has got on at all.
    [[nodiscard]] bool slow() const;

private:
    std::map<std::string, run_progress> m_last; ///< by task
    instant m_lastAt{};
    double m_doneMs = 0; ///< of recent reports, older ones count less
    double m_expectedMs = 0;
    std::set<std::string> m_jobs; ///< at the last report
};

} // namespace plantainpitch::sched
