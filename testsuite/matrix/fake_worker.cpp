#include "fake_worker.h"

#include <cstdlib>

namespace plantainpitch::matrix {

namespace {

constexpr duration stepTime = std::chrono::milliseconds(10);
constexpr std::int64_t failAfterMs = 100;
constexpr std::int64_t usagePeriodUs = 100'000;
constexpr std::int64_t clockOffsetUs = 7'000'000; ///< no two clocks agree

} // namespace

fake_worker::fake_worker(event_queue &queue, observer &watch, std::string vm, resources capacity,
                         std::uint64_t seed)
    : m_queue(queue)
    , m_watch(watch)
    , m_vm(std::move(vm))
    , m_capacity(capacity)
    , m_random(seed)
{
    scheduleAdvance();
}

void fake_worker::scheduleAdvance()
{
    m_queue.after(stepTime, [this] {
        advance();
        scheduleAdvance();
    });
}

std::int64_t fake_worker::clockUs() const
{
    const auto elapsed = m_queue.now().time_since_epoch().count();
    return static_cast<std::int64_t>(static_cast<double>(elapsed) * clockRate) + clockOffsetUs;
}

void fake_worker::call(const worker_call &call, std::function<void(worker_answer)> done)
{
    m_queue.after(delay, [this, call, done = std::move(done)] {
        if (m_suspended) {
            // A suspended VM gets the call when it resumes.
            this->call(call, done);
            return;
        }
        worker_answer answer{ .callId = call.callId,
                              .operation = call.operation,
                              .task = call.task,
                              .result = worker_result::no_answer };
        if (m_alive)
            answer = perform(call);
        if (m_alive && loseAnswers > 0) {
            --loseAnswers;
            answer.result = worker_result::no_answer;
            answer.list.reset();
        }
        if (answer.list)
            markReported(answer.list->tasks);
        m_queue.after(delay, [answer, done] { done(answer); });
    });
}

void fake_worker::markReported(const std::vector<worker_task> &listed)
{
    for (const worker_task &item : listed) {
        const auto it = m_tasks.find(item.task.toString());
        if (it != m_tasks.end() && item.state != worker_task_state::running)
            it->second.reported = true;
    }
}

worker_answer fake_worker::perform(const worker_call &call)
{
    worker_answer answer{ .callId = call.callId,
                          .operation = call.operation,
                          .task = call.task,
                          .result = worker_result::ok,
                          .workerClockUs = clockUs() };
    const std::string name = call.task.toString();
    const auto it = m_tasks.find(name);
    const bool runs = it != m_tasks.end() && it->second.view.attempt == call.attempt
                      && it->second.view.state == worker_task_state::running;
    switch (call.operation) {
    case worker_operation::list:
        answer.list = list();
        break;
    case worker_operation::start:
        start(call, answer);
        break;
    case worker_operation::renew:
        if (runs)
            it->second.view.leaseUntilUs =
                    std::max(it->second.view.leaseUntilUs, call.leaseUntilUs);
        else
            answer.result = worker_result::rejected;
        break;
    case worker_operation::checkpoint:
    case worker_operation::stop:
        if (!runs) {
            answer.result = worker_result::rejected;
            break;
        }
        it->second.view.checkpoint = std::to_string(it->second.progressMs);
        answer.checkpoint = it->second.view.checkpoint;
        m_watch.onTaskCheckpointed(name, call.attempt, it->second.progressMs);
        if (call.operation == worker_operation::stop)
            end(name, it->second, worker_task_state::stopped);
        break;
    case worker_operation::forget:
        if (it != m_tasks.end() && !runs && it->second.view.state != worker_task_state::running)
            m_tasks.erase(it);
        break;
    case worker_operation::usage:
        for (const auto &[id, item] : m_tasks) {
            if (item.view.state == worker_task_state::running)
                answer.usage.push_back({ .task = item.view.task,
                                         .fromUs = answer.workerClockUs - usagePeriodUs,
                                         .toUs = answer.workerClockUs,
                                         .processorsMilli = item.view.reserved.processorsMilli,
                                         .memoryBytes = item.view.reserved.memoryBytes });
        }
        break;
    case worker_operation::throttle:
        break;
    }
    return answer;
}

void fake_worker::start(const worker_call &call, worker_answer &answer)
{
    const std::string name = call.task.toString();
    const auto it = m_tasks.find(name);
    if (it != m_tasks.end() && it->second.view.attempt == call.attempt) {
        if (it->second.view.state == worker_task_state::running)
            it->second.view.leaseUntilUs = call.leaseUntilUs;
        if (it->second.view.state == worker_task_state::running)
            return;
        if (it->second.view.state == worker_task_state::finished
            || it->second.view.state == worker_task_state::failed) {
            answer.result = worker_result::rejected;
            return;
        }
    }
    running_task task;
    task.view = { .task = call.task,
                  .attempt = call.attempt,
                  .reserved = call.reserved,
                  .state = worker_task_state::running,
                  .leaseUntilUs = call.leaseUntilUs,
                  .checkpoint = call.checkpoint,
                  .result = {} };
    task.progressMs = std::atoll(call.checkpoint.c_str());
    task.totalMs = std::atoll(call.command.c_str());
    task.lastUs = clockUs();
    if (task.view.leaseUntilUs <= clockUs()) {
        answer.result = worker_result::rejected;
        return;
    }
    m_tasks[name] = task;
    m_watch.onTaskStarted(m_queue.now(), m_vm, name, call.attempt, task.progressMs);
    resources used;
    for (const auto &[id, item] : m_tasks) {
        if (item.view.state == worker_task_state::running)
            used = used + item.view.reserved;
    }
    m_watch.onVmUsage(m_vm, used, m_capacity);
}

void fake_worker::suspend()
{
    m_suspended = true;
    for (const auto &[name, task] : m_tasks) {
        if (task.view.state == worker_task_state::running)
            m_watch.onTaskEnded(m_vm, name);
    }
}

void fake_worker::resume()
{
    m_suspended = false;
    for (auto &[name, task] : m_tasks) {
        if (task.view.state != worker_task_state::running)
            continue;
        task.lastUs = clockUs();
        if (clockUs() >= task.view.leaseUntilUs)
            end(name, task, worker_task_state::lease_expired);
        else
            m_watch.onTaskStarted(m_queue.now(), m_vm, name, task.view.attempt, task.progressMs);
    }
}

void fake_worker::advance()
{
    if (!m_alive || m_suspended)
        return;
    for (auto &[name, task] : m_tasks) {
        if (task.view.state == worker_task_state::running)
            advanceTask(name, task);
    }
}

void fake_worker::advanceTask(const std::string &name, running_task &task)
{
    const std::int64_t nowUs = clockUs();
    const std::int64_t progressMs = (nowUs - task.lastUs) / 1000;
    task.progressMs += progressMs;
    task.lastUs += progressMs * 1000;
    if (nowUs >= task.view.leaseUntilUs) {
        end(name, task, worker_task_state::lease_expired);
    } else if (failAll && task.progressMs >= failAfterMs) {
        end(name, task, worker_task_state::failed);
    } else if (task.totalMs > 0 && task.progressMs >= task.totalMs) {
        task.view.result = "done";
        m_watch.onTaskFinished(name);
        end(name, task, worker_task_state::finished);
    }
}

void fake_worker::end(const std::string &name, running_task &task, worker_task_state state)
{
    task.view.state = state;
    m_watch.onTaskEnded(m_vm, name);
}

void fake_worker::die(bool withAgent)
{
    if (!m_alive)
        return;
    m_alive = false;
    for (auto &[name, task] : m_tasks) {
        const bool ended = task.view.state != worker_task_state::running;
        if (withAgent || (ended && !task.reported))
            m_watch.onTaskForgotten(name);
        if (task.view.state == worker_task_state::running)
            end(name, task, worker_task_state::stopped);
    }
    m_tasks.clear();
}

void fake_worker::forgetReports()
{
    for (auto &[name, task] : m_tasks)
        task.reported = false;
}

void fake_worker::restart()
{
    m_alive = true;
    ++m_boot;
}

worker_list fake_worker::list() const
{
    worker_list result{ .boot = m_vm + "-boot-" + std::to_string(m_boot),
                        .capacity = m_capacity,
                        .rack = "rack-1",
                        .tasks = {} };
    for (const auto &[name, task] : m_tasks)
        result.tasks.push_back(task.view);
    return result;
}

} // namespace plantainpitch::matrix
