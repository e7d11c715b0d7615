#include "capacity_worker.h"

namespace plantainpitch {

worker_answer capacity_worker::answer(instant now, const worker_call &call)
{
    worker_answer result{ .callId = call.callId,
                          .operation = call.operation,
                          .task = call.task,
                          .result = worker_result::ok,
                          .workerClockUs = now.time_since_epoch().count() };
    if (call.operation == worker_operation::start) {
        m_tasks[call.task] = { .task = call.task,
                               .attempt = call.attempt,
                               .reserved = call.reserved,
                               .leaseUntilUs = call.leaseUntilUs };
    } else if (call.operation == worker_operation::renew) {
        m_tasks[call.task].leaseUntilUs = call.leaseUntilUs;
    } else if (call.operation == worker_operation::list) {
        result.list = worker_list{ .boot = "8f9d3c1e-52ab-4c07-9e41-000000000001",
                                   .capacity = capacity,
                                   .rack = "rack-17" };
        for (const auto &[id, task] : m_tasks)
            result.list->tasks.push_back(task);
    }
    return result;
}

} // namespace plantainpitch
