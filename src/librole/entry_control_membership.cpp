// Part of entry_control: connected agents, their endpoints and the status report.

#include "admin_json.h"
#include "entry_control.h"
#include "entry_router_shard.h"

#include <boost/json.hpp>

#include <array>

namespace plantainpitch::detail {

namespace {

boost::json::object countPhases(const cell_state &cell)
{
    std::array<std::uint64_t, 6> counts{};
    for (const auto &[id, job] : cell.jobs()) {
        for (const task_state &task : job.tasks)
            ++counts.at(static_cast<std::size_t>(task.phase));
    }
    boost::json::object result;
    for (std::size_t i = 0; i < counts.size(); ++i)
        result[toString(static_cast<task_phase>(i))] = counts.at(i);
    return result;
}

} // namespace

void entry_control::publishEndpoint(const known_agent &agent)
{
    if (agent.announcement.templateName.empty())
        return;
    const endpoint_info endpoint = agent.toEndpoint();
    m_shared->postToRouters([endpoint](entry_router_shard &shard) {
        shard.router().onEndpoint(shard.now(), endpoint);
    });
}

void entry_control::removeEndpoint(connection_id connection)
{
    m_shared->postToRouters([connection](entry_router_shard &shard) {
        shard.router().onEndpointDisconnected(shard.now(), connection);
    });
}

void entry_control::disconnectSilentAgents()
{
    for (const known_agent &agent :
         m_agents.markSilentAgents(m_now - m_shared->options.heartbeatTimeout)) {
        // Close the connection instead of waiting for it: pending answers would otherwise be stuck
        // behind an unreachable VM, and over a new connection the agent can report what ran.
        emit(write_log{
                log_level::warning, "heartbeats_missing", { { "vm", agent.announcement.vm } } });
        emit(count_metric{ "agents_lost_total", "heartbeats_missing" });
        emit(close_connection{ agent.connection, "heartbeats are missing" });
        removeEndpoint(agent.connection);
        m_dispatcher.onVmUnreachable(m_now, agent.announcement.vm);
    }
}

boost::json::object entry_control::status() const
{
    boost::json::array vms;
    log_position lowest = config().revision();
    for (const auto &[connection, agent] : m_agents.agents()) {
        vms.push_back(toJson(agent));
        lowest = std::min(lowest, agent.lastHeartbeat.configRevision);
    }
    boost::json::array entries;
    for (const std::string &name : m_liveEntries)
        entries.emplace_back(name);
    return { { "entry", m_shared->options.name },
             { "data_centre", m_shared->options.dataCentre },
             { "ready", m_shared->stateComplete.load() },
             { "log_available", !m_config.unavailable() && !m_cell.unavailable() },
             { "config_revision", config().revision().value },
             { "lowest_applied_revision", lowest.value },
             { "requests_in_flight", m_shared->requestsInFlight.load() },
             { "jobs", cell().jobs().size() },
             { "tasks", countPhases(cell()) },
             { "entries", std::move(entries) },
             { "vms", std::move(vms) } };
}

} // namespace plantainpitch::detail
