#pragma once

#include "admin_handler.h"
#include "caller_handler.h"
#include "entry_settings.h"

#include "plantainpitch/role/entry_role.h"
#include "plantainpitch/runtime/http_client.h"
#include "plantainpitch/runtime/http_server.h"
#include "plantainpitch/runtime/log_service_client.h"
#include "plantainpitch/runtime/peer_connector.h"
#include "plantainpitch/runtime/peer_events.h"
#include "plantainpitch/runtime/peer_listener.h"
#include "plantainpitch/runtime/role_runner.h"
#include "plantainpitch/runtime/shell_core.h"

#include <memory>
#include <vector>

namespace plantainpitch::entry {

/// Sockets, threads and clocks around an entry_role.
class entry_shell
{
public:
    explicit entry_shell(const entry_settings &values);

    /// Serves until the graceful stop is complete.
    void run();

private:
    void carryOut(action todo);
    void carryOut(const append_call &call);
    void carryOut(const read_call &call);
    void deliver(const entry_event &event) { m_runner.deliver(event); }
    void deliverLater(entry_event event);
    void connectPeers(const std::string &peers);
    void logListening();
    void tick();
    void finish();

    runtime::shell_core m_core;
    std::uint64_t m_incarnation;
    entry_role m_role;
    runtime::role_runner<entry_role, entry_event> m_runner;
    runtime::peer_events<entry_event> m_peers;
    runtime::http_client m_logHttp;
    runtime::log_service_client m_log;
    caller_handler m_callers;
    admin_handler m_admins;
    runtime::http_server m_callerServer;
    runtime::http_server m_adminServer;
    runtime::peer_options m_peerOptions;
    runtime::peer_listener m_listener;
    std::vector<std::unique_ptr<runtime::peer_connector>> m_connectors;
    // Used by tick() only.
    instant m_started;
    bool m_callersOpen = false;
    bool m_callersClosed = false;
};

} // namespace plantainpitch::entry
