#include "agent_table.h"

namespace plantainpitch::detail {

vm_info known_agent::toVm() const
{
    return { .connection = connection,
             .vm = announced.vm,
             .dataCentre = announced.dataCentre,
             .rack = announced.rack,
             .agent = announced.incarnation,
             .workerBoot = announced.workerBoot,
             .capacity = announced.capacity,
             .available = last.available,
             .draining = announced.draining || last.draining,
             .templateName = announced.templateName,
             .runningRequests = last.running };
}

endpoint_info known_agent::toEndpoint() const
{
    return { .connection = connection,
             .vm = announced.vm,
             .dataCentre = announced.dataCentre,
             .rack = announced.rack,
             .incarnation = announced.incarnation,
             .templateName = announced.templateName,
             .slots = announced.slots,
             .connections = announced.connections,
             .running = last.running,
             .queued = last.queued,
             .draining = announced.draining || last.draining };
}

known_agent &agent_table::onAnnounce(instant now, connection_id connection,
                                     const announce &announced)
{
    known_agent &agent = m_agents[connection];
    const bool known = agent.connection != 0;
    agent.connection = connection;
    agent.announced = announced;
    agent.last.available = announced.available;
    agent.last.draining = announced.draining;
    agent.last.configRevision = announced.configRevision;
    if (!known)
        agent.configSent = announced.configRevision;
    agent.lastHeard = now;
    agent.lost = false;
    return agent;
}

known_agent *agent_table::onHeartbeat(instant now, connection_id connection, const heartbeat &beat)
{
    known_agent *agent = find(connection);
    if (!agent)
        return nullptr;
    agent->last = beat;
    agent->lastHeard = now;
    agent->lost = false;
    return agent;
}

void agent_table::erase(connection_id connection)
{
    m_agents.erase(connection);
}

std::vector<known_agent> agent_table::takeSilent(instant limit)
{
    std::vector<known_agent> silent;
    for (auto &[connection, agent] : m_agents) {
        if (agent.lost || agent.lastHeard >= limit)
            continue;
        agent.lost = true;
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
        // A later connection is of the newer process.
        if (agent.announced.vm == vm)
            found = &agent;
    }
    return found;
}

} // namespace plantainpitch::detail
