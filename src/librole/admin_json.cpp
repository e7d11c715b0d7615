#include "admin_json.h"

#include "plantainpitch/log/task_phase.h"

#include <boost/json.hpp>

namespace plantainpitch::detail {

namespace {

boost::json::object toJson(const resources &value)
{
    return { { "processors_milli", value.processorsMilli },
             { "memory_bytes", value.memoryBytes },
             { "accelerators", value.accelerators } };
}

boost::json::object toJson(const task_state &task, std::size_t index)
{
    return { { "index", index },
             { "phase", toString(task.phase) },
             { "vm", task.vm },
             { "attempt", task.attempt.value },
             { "attempts", task.attempts },
             { "failures", task.failures },
             { "checkpoint", task.checkpoint },
             { "result", task.result } };
}

std::uint32_t httpStatus(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_argument:
    case error_kind::invalid_document:
    case error_kind::protocol_error:
        return 400;
    case error_kind::not_found:
        return 404;
    case error_kind::revision_conflict:
    case error_kind::already_exists:
        return 409;
    case error_kind::too_large:
        return 413;
    case error_kind::quota_exceeded:
        return 429;
    case error_kind::log_unavailable:
    case error_kind::not_ready:
        return 503;
    case error_kind::timeout:
        return 504;
    case error_kind::internal_error:
        break;
    }
    return 500;
}

} // namespace

boost::json::object toJson(const job_state &job)
{
    boost::json::array tasks;
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        tasks.push_back(toJson(job.tasks[i], i));
    const job_submitted &description = job.description;
    return { { "id", description.job },
             { "template", description.templateName },
             { "account", description.account },
             { "team", description.team },
             { "submitted_ms", description.submittedMs },
             { "deadline_ms", description.deadlineMs },
             { "cancelled", job.cancelled },
             { "open_tasks", job.openTasks },
             { "tasks", std::move(tasks) } };
}

boost::json::object toJson(const config_entity &entity)
{
    return { { "name", entity.name },
             { "revision", entity.revision.value },
             { "document", boost::json::parse(entity.document) } };
}

boost::json::object toJson(const known_agent &agent)
{
    const vm_info vm = agent.toVm();
    return { { "vm", vm.vm },
             { "data_centre", vm.dataCentre },
             { "rack", vm.rack },
             { "service", vm.templateName },
             { "draining", vm.draining },
             { "heartbeats_missing", agent.heartbeatsMissing },
             { "running_requests", agent.lastHeartbeat.running },
             { "queued_requests", agent.lastHeartbeat.queued },
             { "capacity", toJson(vm.capacity) },
             { "available", toJson(vm.available) },
             { "config_revision", agent.lastHeartbeat.configRevision.value } };
}

answer_admin makeAdminAnswer(std::uint64_t adminId, std::uint32_t status,
                             const boost::json::object &body)
{
    return { .adminId = adminId, .status = status, .body = boost::json::serialize(body) };
}

answer_admin makeAdminError(std::uint64_t adminId, const error &problem,
                            const boost::json::object &details)
{
    boost::json::object content = { { "kind", toString(problem.kind()) },
                                    { "message", problem.problem() },
                                    { "remedy", problem.remedy() } };
    for (const auto &item : details)
        content.emplace(item.key(), item.value());
    return makeAdminAnswer(adminId, httpStatus(problem.kind()), { { "error", content } });
}

} // namespace plantainpitch::detail
