#pragma once

#include "support/journal.h"
#include "task.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace plantainpitch::standin {

struct worker_options
{
    resources capacity;
    std::string rack;
    std::string vm;
    std::string journalPath;
    std::int64_t usageLagMs = 0;
    bool failAll = false;
};

/// The tasks of the worker and their progress. Starts whatever it is given, whether it fits or
/// not, and also a second attempt of a task that runs, so that tests see such a fault of the
/// scheduler. All times are bootClockUs(). Thread-safe. Functions throw error(not_found) for an
/// unknown attempt and error(already_exists) for a call that the state of the task rules out.
class worker_state
{
public:
    explicit worker_state(worker_options options);

    /// Brings all tasks up to the present: progress, ends of runs and of leases.
    void advance();

    boost::json::object list();
    boost::json::object usage();
    boost::json::object start(const std::string &id, const boost::json::object &body);
    /// Operations renew, checkpoint, throttle, stop and forget.
    boost::json::object call(const std::string &id, const std::string &operation,
                             const boost::json::object &body);

private:
    using task_key = std::pair<std::string, std::uint64_t>;

    void advance(task &running, std::int64_t nowUs);
    void end(task &running, const std::string &state, std::int64_t atUs);
    void startNew(task started);
    task &find(const std::string &id, const boost::json::object &body);
    boost::json::object apply(task &called, const std::string &operation,
                              const boost::json::object &body);
    void recordUsage(task &running, std::int64_t fromUs, std::int64_t toUs) const;
    void writeJournal(const char *event, const task &subject, std::int64_t atUs);
    void advanceAll();

    const worker_options m_options;
    const std::string m_boot;
    journal m_journal;
    std::mutex m_mutex;
    std::map<task_key, task> m_tasks; ///< guarded by m_mutex
};

} // namespace plantainpitch::standin
