#include "plantainpitch/role/agent_role.h"

#include "agent_admission_shard.h"
#include "agent_shared.h"
#include "agent_task_shard.h"

#include <boost/json.hpp>

namespace plantainpitch {

namespace {

constexpr std::size_t taskShard = 0;
constexpr std::size_t admissionShard = 1;

std::vector<std::size_t> shardsOfMessage(const message &content)
{
    if (std::holds_alternative<dispatch>(content) || std::holds_alternative<cancel>(content))
        return { admissionShard };
    if (std::holds_alternative<drain_request>(content))
        return { admissionShard, taskShard };
    return { taskShard };
}

} // namespace

agent_role::agent_role(agent_role_options options, std::uint64_t seed)
    : m_shared(std::make_shared<detail::agent_shared>(std::move(options)))
    , m_tasks(std::make_unique<detail::agent_task_shard>(m_shared, seed))
    , m_admission(std::make_unique<detail::agent_admission_shard>(m_shared))
{}

agent_role::~agent_role() = default;

std::size_t agent_role::shardCount() const
{
    return 2;
}

std::vector<std::size_t> agent_role::shardsOf(const agent_event &event) const
{
    if (const auto *received = std::get_if<message_received>(&event))
        return shardsOfMessage(received->content);
    if (std::holds_alternative<worker_answer>(event))
        return { taskShard };
    if (std::holds_alternative<service_result>(event))
        return { admissionShard };
    // Admission comes first, so that no request is admitted after a heartbeat reported draining.
    return { admissionShard, taskShard };
}

action_list agent_role::handle(std::size_t shard, instant now, const agent_event &event)
{
    return shard == taskShard ? m_tasks->handle(now, event) : m_admission->handle(now, event);
}

std::string agent_role::status() const
{
    const boost::json::object status = {
        { "vm", m_shared->options.vm },
        { "data_centre", m_shared->options.dataCentre },
        { "template", m_shared->options.templateName },
        { "draining", m_shared->draining.load() },
        { "running_requests", m_shared->running.load() },
        { "queued_requests", m_shared->queued.load() },
        { "tasks", m_shared->tasks.load() },
        { "config_revision", m_shared->configRevision.load() },
    };
    return boost::json::serialize(status);
}

} // namespace plantainpitch
