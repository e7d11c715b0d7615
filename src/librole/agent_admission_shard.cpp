#include "agent_admission_shard.h"

namespace plantainpitch::detail {

namespace {

request_admission_options admissionOptions(const agent_role_options &options,
                                           latency_window &latency)
{
    return { .templateName = options.templateName,
             .slots = options.slots,
             .connections = options.connections,
             .queueLimit = options.queueLimit,
             .onServiceTime = [&latency](duration serviceTime) { latency.add(serviceTime); } };
}

} // namespace

agent_admission_shard::agent_admission_shard(std::shared_ptr<agent_shared> shared)
    : m_shared(std::move(shared))
    , m_admission(admissionOptions(m_shared->options, m_latency))
    , m_slots(m_shared->options.slots)
    , m_queueLimit(m_shared->options.queueLimit)
{}

action_list agent_admission_shard::handle(instant now, const agent_event &event)
{
    if (const auto *opened = std::get_if<connection_opened>(&event)) {
        m_admission.onEntryConnected(now, opened->connection, opened->peer.incarnation);
    } else if (const auto *closed = std::get_if<connection_closed>(&event)) {
        m_admission.onEntryDisconnected(now, closed->connection);
    } else if (const auto *received = std::get_if<message_received>(&event)) {
        onMessage(now, *received);
    } else if (const auto *result = std::get_if<service_result>(&event)) {
        m_admission.onServiceResult(now, *result);
    } else if (std::holds_alternative<stop_requested>(event)) {
        drain(now);
    } else if (std::holds_alternative<timer_tick>(event)) {
        applyLimits();
        m_admission.tick(now);
        if (const auto window = m_latency.publish(now, m_admission.idle()))
            m_shared->latencyWindow = window->packed();
    }
    m_shared->running = m_admission.running();
    m_shared->queued = m_admission.queued();
    m_shared->admissionIdle = m_admission.idle();
    return m_admission.takeActions();
}

void agent_admission_shard::onMessage(instant now, const message_received &received)
{
    if (const auto *request = std::get_if<dispatch>(&received.content))
        m_admission.onDispatch(now, received.connection, *request);
    else if (const auto *cancellation = std::get_if<cancel>(&received.content))
        m_admission.onCancel(now, received.connection, *cancellation);
    else if (std::holds_alternative<drain_request>(received.content))
        drain(now);
}

void agent_admission_shard::drain(instant now)
{
    m_shared->draining = true;
    m_admission.drain(now);
}

void agent_admission_shard::applyLimits()
{
    const std::uint32_t slots = m_shared->slots;
    const std::uint32_t queueLimit = m_shared->queueLimit;
    if (slots == 0 || (slots == m_slots && queueLimit == m_queueLimit))
        return;
    m_slots = slots;
    m_queueLimit = queueLimit;
    m_admission.onLimits(slots, queueLimit);
}

} // namespace plantainpitch::detail
