#include "entry_shell.h"

#include "plantainpitch/wire/frame_limits.h"

#include <boost/asio/post.hpp>

namespace plantainpitch::entry {

namespace {

using namespace std::chrono_literals;

// Callers keep connections open between requests, so far more are open than are in use.

entry_role_options roleOptions(const entry_settings &values, std::uint64_t incarnation)
{
    return { .name = values.name,
             .dataCentre = values.dataCentre,
             .cell = values.cell,
             .incarnation = incarnation,
             .routerShards = values.routerShards };
}

runtime::http_server_options serverOptions(const std::string &address, std::uint32_t port,
                                           runtime::metrics &counters)
{
    return { .address = address,
             .port = static_cast<std::uint16_t>(port),
             .limitReached = runtime::countLimits(counters) };
}

runtime::http_client_options logOptions(const entry_settings &values)
{
    return { .address = values.logAddress,
             .port = static_cast<std::uint16_t>(values.logPort),
             .maxConnections = 4 }; // one append and one read at once for each of two streams
}

} // namespace

entry_shell::entry_shell(const entry_settings &values)
    : m_core(values.threads, values.logLevel)
    , m_incarnation(runtime::randomNumber())
    , m_role(roleOptions(values, m_incarnation), runtime::randomNumber())
    , m_runner(
              m_role, m_core.time(), [this](action todo) { carryOut(std::move(todo)); },
              [this](const std::exception &fault) { m_core.fail(fault); })
    , m_peers(m_core, [this](const entry_event &event) { deliver(event); })
    , m_logHttp(m_core.context(), logOptions(values))
    , m_log(runtime::sendThrough(m_logHttp), m_core.counters(),
            std::chrono::duration_cast<std::chrono::milliseconds>(
                    log_pipeline_options().callTimeout))
    , m_callers(m_core.time(), [this](const entry_event &event) { deliver(event); })
    , m_admins(
              m_core.counters(), [this] { return m_role.ready(); },
              [this](const entry_event &event) { deliver(event); })
    , m_callerServer(m_core.context(),
                     values.clients.apply(serverOptions(values.callerAddress, values.callerPort,
                                                        m_core.counters())),
                     m_callers)
    , m_adminServer(m_core.context(),
                    values.clients.applyToMinor(serverOptions(values.adminAddress, values.adminPort,
                                                              m_core.counters())),
                    m_admins)
    , m_peerOptions{ .self = { .kind = process_kind::entry,
                               .name = values.name,
                               .dataCentre = values.dataCentre,
                               .incarnation = m_incarnation } }
    , m_listener(
              m_core.context(),
              { .host = values.peerAddress, .port = static_cast<std::uint16_t>(values.peerPort) },
              m_peerOptions, m_core.connections(), m_peers)
{
    connectPeers(values.peers);
}

void entry_shell::connectPeers(const std::string &peers)
{
    const auto addresses = runtime::parseHostPorts(peers).value();
    for (const runtime::host_port &peer : addresses) {
        m_connectors.push_back(std::make_unique<runtime::peer_connector>(
                m_core.context(), peer, m_peerOptions, m_core.connections(), m_peers,
                runtime::randomNumber()));
    }
}

void entry_shell::run()
{
    m_adminServer.start();
    m_listener.start();
    for (const auto &connector : m_connectors)
        connector->start();
    logListening();
    m_started = m_core.time().now();
    m_core.loop().run({ .tick = [this] { tick(); },
                        .stop = [this] { deliver(stop_requested{}); },
                        .fault = [this](const std::exception &fault) { m_core.fail(fault); } });
    m_core.log().write({ .event = "stopped" });
}

void entry_shell::logListening()
{
    m_core.log().write({ .event = "listening",
                         .fields = { { "caller_port", std::to_string(m_callerServer.port()) },
                                     { "admin_port", std::to_string(m_adminServer.port()) },
                                     { "peer_port", std::to_string(m_listener.port()) },
                                     { "incarnation", std::to_string(m_incarnation) },
                                     { "version", PLANTAIN_VERSION } } });
}

void entry_shell::tick()
{
    deliver(timer_tick{ .nowMs = m_core.time().wallMs() });
    m_core.log().reportSuppressed();
    // Connections that come earlier wait in the listen queue for a moment. An entry that cannot get
    // ready answers them that it is not.
    const bool mayAccept = m_role.ready() || m_core.time().now() - m_started > 5s;
    if (!m_callersOpen && mayAccept) {
        m_callersOpen = true;
        m_callerServer.start();
    }
    // Clients with a response that ends their connection cannot send on it while it is closed.
    if (m_role.closeConnections())
        m_callerServer.closeAfterResponses();
    if (!m_callersClosed && m_role.closeListeners()) {
        m_callersClosed = true;
        m_callerServer.stopAccepting();
    }
}

void entry_shell::carryOut(action todo)
{
    if (m_core.carryOut(todo))
        return;
    if (const auto *caller = std::get_if<answer_caller>(&todo))
        m_callers.answer(*caller);
    else if (const auto *admin = std::get_if<answer_admin>(&todo))
        m_admins.answer(*admin);
    else if (const auto *append = std::get_if<append_call>(&todo))
        carryOut(*append);
    else if (const auto *read = std::get_if<read_call>(&todo))
        carryOut(*read);
    else if (std::holds_alternative<exit_process>(todo))
        finish();
    else
        throw std::logic_error("an entry role has given an action of index "
                               + std::to_string(todo.index()) + ", which is for agents");
}

void entry_shell::carryOut(const append_call &call)
{
    m_log.append(call, [this](append_answer answer) { deliverLater(std::move(answer)); });
}

void entry_shell::carryOut(const read_call &call)
{
    m_log.read(call, [this](read_answer answer) { deliverLater(std::move(answer)); });
}

void entry_shell::deliverLater(entry_event event)
{
    boost::asio::post(m_core.context(),
                      [this, event = std::move(event)] { m_runner.deliver(event); });
}

void entry_shell::finish()
{
    const auto idle = [this] {
        return m_callerServer.openRequests() == 0 && m_adminServer.openRequests() == 0
               && m_core.connections().queuedBytes() == 0;
    };
    m_core.loop().finish(idle, 2s);
}

} // namespace plantainpitch::entry
