#pragma once

#include "event_queue.h"
#include "observer.h"
#include "plantainpitch/role/worker/worker_answer.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace plantainpitch::matrix {

/// A worker: starts whatever it is given and ends a task at its lease.
class fake_worker
{
public:
    fake_worker(event_queue &queue, observer &watch, std::string vm, resources capacity,
                std::uint64_t seed);

    void call(const worker_call &call, std::function<void(worker_answer)> done);
    /// The VM or the worker process dies; tasks end at once.
    /// \a withAgent: what the agent of the VM knows is lost as well.
    void die(bool withAgent);
    void restart();
    /// The agent process that read the lists has died.
    void forgetReports();
    [[nodiscard]] bool alive() const { return m_alive; }
    /// The whole VM is suspended: its tasks make no progress, its clock counts on.
    void suspend();
    void resume();

    int loseAnswers = 0; ///< these calls take effect, their answers are lost
    bool failAll = false; ///< every task fails soon after its start
    duration delay = std::chrono::milliseconds(1);
    double clockRate = 1.0; ///< set before the first call

private:
    struct running_task
    {
        worker_task view;
        std::int64_t progressMs = 0;
        std::int64_t totalMs = 0; ///< 0: endless
        std::int64_t lastUs = 0;
        bool reported = false; ///< a list showed the present state
    };

    worker_answer perform(const worker_call &call);
    void start(const worker_call &call, worker_answer &answer);
    void advance();
    void advanceTask(const std::string &name, running_task &task);
    void end(const std::string &name, running_task &task, worker_task_state state);
    [[nodiscard]] std::int64_t clockUs() const;
    [[nodiscard]] worker_list list() const;
    void scheduleAdvance();
    void markReported(const std::vector<worker_task> &listed);

    event_queue &m_queue;
    observer &m_watch;
    std::string m_vm;
    resources m_capacity;
    std::mt19937_64 m_random;
    bool m_alive = true;
    bool m_suspended = false;
    std::uint64_t m_boot = 1;
    std::map<std::string, running_task> m_tasks;
};

} // namespace plantainpitch::matrix
