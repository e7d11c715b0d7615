#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/endpoint_info.h"
#include "plantainpitch/role/message/announce.h"
#include "plantainpitch/role/message/heartbeat.h"
#include "plantainpitch/role/vm_info.h"

#include <map>
#include <string>
#include <vector>

namespace plantainpitch::detail {

/// An agent that announced itself to this entry.
struct known_agent
{
    connection_id connection = 0;
    announce announcement;
    heartbeat lastHeartbeat;
    instant lastHeard;
    bool heartbeatsMissing = false;
    log_position sentConfigRevision;

    [[nodiscard]] vm_info toVm() const;
    [[nodiscard]] endpoint_info toEndpoint() const;
};

/// The agents connected to this entry. The data may be outdated: each agent decides for its VM.
class agent_table
{
public:
    known_agent &onAnnounce(instant now, connection_id connection, const announce &announcement);
    /// Returns null if no announcement was received on the connection.
    known_agent *onHeartbeat(instant now, connection_id connection, const heartbeat &beat);
    void erase(connection_id connection);
    /// Marks and returns the agents that were last heard of before \a cutoff, except those already
    /// marked.
    std::vector<known_agent> markSilentAgents(instant cutoff);

    known_agent *find(connection_id connection);
    [[nodiscard]] const known_agent *findVm(const std::string &vm) const;
    std::map<connection_id, known_agent> &agents() { return m_agents; }
    [[nodiscard]] const std::map<connection_id, known_agent> &agents() const { return m_agents; }

private:
    std::map<connection_id, known_agent> m_agents;
};

} // namespace plantainpitch::detail
