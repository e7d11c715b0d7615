#include "agent_shell.h"

#include "plantainpitch/runtime/service_http.h"
#include "plantainpitch/wire/frame_limits.h"

#include <boost/asio/post.hpp>

namespace plantainpitch::agent {

namespace {

using namespace std::chrono_literals;

// A worker answers within milliseconds; a longer wait would only delay the next renewal.
constexpr std::chrono::milliseconds workerTimeout = 2s;

agent_role_options roleOptions(const agent_settings &values, std::uint64_t incarnation)
{
    return { .vm = values.vm,
             .dataCentre = values.dataCentre,
             .rack = values.rack,
             .incarnation = incarnation,
             .templateName = values.serviceTemplate,
             .slots = values.slots,
             .connections = values.connections,
             .queueLimit = values.queueLimit,
             .reservedForService = { .processorsMilli = values.reservedProcessorsMilli,
                                     .memoryBytes = values.reservedMemoryBytes } };
}

runtime::http_client_options workerOptions(const agent_settings &values)
{
    return { .address = values.workerAddress,
             .port = static_cast<std::uint16_t>(values.workerPort),
             .maxConnections = 4 };
}

runtime::http_client_options serviceOptions(const agent_settings &values)
{
    return { .address = values.serviceAddress,
             .port = static_cast<std::uint16_t>(values.servicePort),
             .maxConnections = values.connections,
             .maxBodyBytes = wire::maxBodyBytes }; // the answer has to fit in a frame
}

runtime::http_server_options statusOptions(const agent_settings &values, runtime::metrics &counters)
{
    return values.clients.applyToMinor({ .address = values.statusAddress,
                                         .port = static_cast<std::uint16_t>(values.statusPort),
                                         .limitReached = runtime::countLimits(counters) });
}

} // namespace

agent_shell::agent_shell(const agent_settings &values)
    : m_core(values.threads, values.logLevel)
    , m_incarnation(runtime::randomNumber())
    , m_role(roleOptions(values, m_incarnation), runtime::randomNumber())
    , m_runner(
              m_role, m_core.time(), [this](action todo) { carryOut(std::move(todo)); },
              [this](const std::exception &fault) { m_core.fail(fault); })
    , m_peers(m_core, [this](const agent_event &event) { deliver(event); })
    , m_workerHttp(m_core.context(), workerOptions(values))
    , m_serviceHttp(m_core.context(), serviceOptions(values))
    , m_worker(runtime::sendThrough(m_workerHttp), workerTimeout)
    , m_status(m_core.counters(), [this] { return m_role.status(); })
    , m_statusServer(m_core.context(), statusOptions(values, m_core.counters()), m_status)
    , m_peerOptions{ .self = { .kind = process_kind::agent,
                               .name = values.vm,
                               .dataCentre = values.dataCentre,
                               .incarnation = m_incarnation } }
{
    const auto addresses = runtime::parseHostPorts(values.entries).value();
    for (const runtime::host_port &address : addresses) {
        m_connectors.push_back(std::make_unique<runtime::peer_connector>(
                m_core.context(), address, m_peerOptions, m_core.connections(), m_peers,
                runtime::randomNumber()));
    }
}

void agent_shell::run()
{
    m_statusServer.start();
    for (const auto &connector : m_connectors)
        connector->start();
    logListening();
    m_core.loop().run({ .tick = [this] { tick(); },
                        .stop = [this] { deliver(stop_requested{}); },
                        .fault = [this](const std::exception &fault) { m_core.fail(fault); } });
    m_core.log().write({ .event = "stopped" });
}

void agent_shell::logListening()
{
    m_core.log().write({ .event = "listening",
                         .fields = { { "status_port", std::to_string(m_statusServer.port()) },
                                     { "incarnation", std::to_string(m_incarnation) },
                                     { "version", PLANTAIN_VERSION } } });
}

void agent_shell::tick()
{
    deliver(timer_tick{ .nowMs = m_core.time().wallMs() });
    m_core.log().reportSuppressed();
}

void agent_shell::carryOut(action todo)
{
    if (m_core.carryOut(todo))
        return;
    if (const auto *worker = std::get_if<worker_call>(&todo))
        carryOut(*worker);
    else if (const auto *service = std::get_if<service_call>(&todo))
        carryOut(*service);
    else if (std::holds_alternative<exit_process>(todo))
        finish();
    else
        throw std::logic_error("an agent role has given an action of index "
                               + std::to_string(todo.index()) + ", which is for entries");
}

void agent_shell::carryOut(const worker_call &call)
{
    m_worker.call(call, [this](worker_answer answer) { deliverLater(std::move(answer)); });
}

void agent_shell::carryOut(const service_call &call)
{
    m_serviceHttp.send(runtime::toHttpRequest(call), runtime::timeoutOf(call),
                       [this, id = call.callId](runtime::http_result result) {
                           deliverLater(runtime::toServiceResult(id, std::move(result)));
                       });
}

void agent_shell::deliverLater(agent_event event)
{
    boost::asio::post(m_core.context(),
                      [this, event = std::move(event)] { m_runner.deliver(event); });
}

void agent_shell::finish()
{
    const auto idle = [this] {
        return m_statusServer.openRequests() == 0 && m_core.connections().queuedBytes() == 0;
    };
    m_core.loop().finish(idle, 2s);
}

} // namespace plantainpitch::agent
