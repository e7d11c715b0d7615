#pragma once

#include "agent_settings.h"
#include "status_handler.h"

#include "plantainpitch/role/agent_role.h"
#include "plantainpitch/runtime/http_client.h"
#include "plantainpitch/runtime/http_server.h"
#include "plantainpitch/runtime/peer_connector.h"
#include "plantainpitch/runtime/peer_events.h"
#include "plantainpitch/runtime/role_runner.h"
#include "plantainpitch/runtime/shell_core.h"
#include "plantainpitch/runtime/worker_client.h"

#include <memory>
#include <vector>

namespace plantainpitch::agent {

/// Sockets, threads and clocks around an agent_role.
class agent_shell
{
public:
    explicit agent_shell(const agent_settings &values);

    /// Serves until the drain is complete.
    void run();

private:
    void carryOut(action todo);
    void carryOut(const worker_call &call);
    void carryOut(const service_call &call);
    void deliver(const agent_event &event) { m_runner.deliver(event); }
    void deliverLater(agent_event event);
    void logListening();
    void tick();
    void finish();

    runtime::shell_core m_core;
    std::uint64_t m_incarnation;
    agent_role m_role;
    runtime::role_runner<agent_role, agent_event> m_runner;
    runtime::peer_events<agent_event> m_peers;
    runtime::http_client m_workerHttp;
    runtime::http_client m_serviceHttp;
    runtime::worker_client m_worker;
    status_handler m_status;
    runtime::http_server m_statusServer;
    runtime::peer_options m_peerOptions;
    std::vector<std::unique_ptr<runtime::peer_connector>> m_connectors;
};

} // namespace plantainpitch::agent
