#include "agent_table.h"

namespace plantainpitch::detail {

vm_info known_agent::toVm() const
{
    return { .connection = connection,
             .vm = announcement.vm,
             .dataCentre = announcement.dataCentre,
             .rack = announcement.rack,
             .agentIncarnation = announcement.incarnation,
             .workerBoot = announcement.workerBoot,
             .capacity = announcement.capacity,
             .available = lastHeartbeat.available,
             .draining = announcement.draining || lastHeartbeat.draining,
             .templateName = announcement.templateName,
             .runningRequests = lastHeartbeat.running };
}

endpoint_info known_agent::toEndpoint() const
{
    return { .connection = connection,
             .vm = announcement.vm,
             .dataCentre = announcement.dataCentre,
             .rack = announcement.rack,
             .incarnation = announcement.incarnation,
             .templateName = announcement.templateName,
             .slots = announcement.slots,
             .connections = announcement.connections,
             .running = lastHeartbeat.running,
             .queued = lastHeartbeat.queued,
             .draining = announcement.draining || lastHeartbeat.draining };
}

known_agent &agent_table::onAnnounce(instant now, connection_id connection,
                                     const announce &announcement)
{
    known_agent &agent = m_agents[connection];
    const bool known = agent.connection != 0;
    agent.connection = connection;
    agent.announcement = announcement;
    agent.lastHeartbeat.available = announcement.available;
    agent.lastHeartbeat.draining = announcement.draining;
    agent.lastHeartbeat.configRevision = announcement.configRevision;
    if (!known)
        agent.sentConfigRevision = announcement.configRevision;
    agent.lastHeard = now;
    agent.heartbeatsMissing = false;
    return agent;
}

known_agent *agent_table::onHeartbeat(instant now, connection_id connection, const heartbeat &beat)
{
    known_agent *agent = find(connection);
    if (!agent)
        return nullptr;
    agent->lastHeartbeat = beat;
    agent->lastHeard = now;
    agent->heartbeatsMissing = false;
    return agent;
}

void agent_table::erase(connection_id connection)
{
    m_agents.erase(connection);
}

std::vector<known_agent> agent_table::markSilentAgents(instant cutoff)
{
    std::vector<known_agent> silent;
    for (auto &[connection, agent] : m_agents) {
        if (agent.heartbeatsMissing || agent.lastHeard >= cutoff)
            continue;
        agent.heartbeatsMissing = true;
        silent.push_back(agent);
    }
    return silent;
}

known_agent *agent_table::find(connection_id connection)
{
    const auto it = m_agents.find(connection);
    return it == m_agents.end() ? nullptr : &it->second;
}

const known_agent *agent_table::findVm(const std::string &vm) const
{
    const known_agent *found = nullptr;
    for (const auto &[connection, agent] : m_agents) {
        // A higher connection id belongs to a newer agent process.
        if (agent.announcement.vm == vm)
            found = &agent;
    }
    return found;
}

} // namespace plantainpitch::detail
