#include "agent_task_shard.h"

namespace plantainpitch::detail {

namespace {

/// Minimum time between the start of a drain and the exit of the process. Dispatches that entries
/// sent before they learnt of the drain need a refusal, since a broken connection would leave
/// their outcome unknown.
constexpr duration drainLinger = std::chrono::seconds(2);

task_holder_options holderOptions(const agent_role_options &options)
{
    return { .vm = options.vm,
             .agent = options.incarnation,
             .reservedForService = options.reservedForService };
}

} // namespace

agent_task_shard::agent_task_shard(std::shared_ptr<agent_shared> shared, std::uint64_t seed)
    : m_shared(std::move(shared))
    , m_holder(holderOptions(m_shared->options), seed)
    , m_gateways(m_shared->options.dataCentre)
{}

action_list agent_task_shard::handle(instant now, const agent_event &event)
{
    if (const auto *opened = std::get_if<connection_opened>(&event))
        onOpened(now, *opened);
    else if (const auto *closed = std::get_if<connection_closed>(&event))
        onClosed(*closed);
    else if (const auto *received = std::get_if<message_received>(&event))
        onMessage(now, *received);
    else if (const auto *workerAnswer = std::get_if<worker_answer>(&event))
        batch_throttle::isUsageAnswer(*workerAnswer) ? m_throttle.onUsage(now, *workerAnswer)
                                                     : m_holder.onWorkerAnswer(now, *workerAnswer);
    else if (std::holds_alternative<stop_requested>(event))
        drain(now);
    else if (std::holds_alternative<timer_tick>(event))
        tick(now);

    updateGateway(now);
    sendAnnouncementIfChanged();
    m_shared->tasks = m_holder.taskCount();
    for (action &item : m_holder.takeActions())
        m_actions.push_back(std::move(item));
    return std::exchange(m_actions, {});
}

void agent_task_shard::onOpened(instant now, const connection_opened &opened)
{
    m_entries.insert(opened.connection);
    m_gateways.onConnected(now, opened.connection, opened.peer);
    m_actions.emplace_back(send_message{ opened.connection, makeAnnouncement() });
}

void agent_task_shard::onClosed(const connection_closed &closed)
{
    m_entries.erase(closed.connection);
    m_gateways.onDisconnected(closed.connection);
}

void agent_task_shard::onMessage(instant now, const message_received &received)
{
    if (const auto *update = std::get_if<config_update>(&received.content)) {
        onConfig(*update);
    } else if (const auto *proposal = std::get_if<task_proposal>(&received.content)) {
        m_holder.onProposal(now, received.connection, *proposal);
    } else if (const auto *settled = std::get_if<record_settled>(&received.content)) {
        m_gateways.onAnswer(now);
        m_holder.onRecordSettled(now, *settled);
    } else if (const auto *grant = std::get_if<authority_grant>(&received.content)) {
        m_gateways.onAnswer(now);
        m_holder.onAuthorityGrant(now, *grant);
    } else if (std::holds_alternative<drain_request>(received.content)) {
        drain(now);
    }
}

void agent_task_shard::onConfig(const config_update &update)
{
    for (const config_entity &entity : update.entities)
        m_config.applyEntity(entity);
    m_shared->configRevision = m_config.revision().value;
    const work_template *service = m_config.findTemplate(m_shared->options.templateName);
    if (!service || service->kind != task_kind::service)
        return;
    m_shared->queueLimit = service->queueLimit;
    m_shared->slots = service->slots;
    m_throttle.onTemplate(*service);
}

void agent_task_shard::tick(instant now)
{
    m_gateways.tick(now);
    m_holder.tick(now);
    applyThrottle(now);
    if (now - m_lastHeartbeat >= m_shared->options.heartbeatInterval)
        sendHeartbeats(now);
    finishDrain(now);
}

void agent_task_shard::applyThrottle(instant now)
{
    if (const auto call = m_throttle.poll(now, m_holder.taskCount()))
        m_actions.emplace_back(*call);
    const std::uint64_t packed = m_shared->latencyWindow;
    const auto decision = m_throttle.decide(now, service_latency::unpack(packed));
    if (!decision)
        return;
    m_holder.throttle(now, m_throttle.percent());
    if (!decision->evict)
        return;
    if (const auto task = m_throttle.largestTask()) {
        m_actions.emplace_back(
                write_log{ log_level::warning, "task_evicted", { { "task", task->toString() } } });
        m_holder.evict(now, *task);
    }
}

void agent_task_shard::drain(instant now)
{
    if (m_drainStarted)
        return;
    m_drainStarted = now;
    m_shared->draining = true;
    m_holder.drain(now);
    m_actions.emplace_back(write_log{ log_level::info, "drain_started", {} });
    sendHeartbeats(now);
}

void agent_task_shard::sendHeartbeats(instant now)
{
    m_lastHeartbeat = now;
    const heartbeat beat = makeHeartbeat();
    for (const connection_id entry : m_entries)
        m_actions.emplace_back(send_message{ entry, beat });
}

void agent_task_shard::sendAnnouncementIfChanged()
{
    announce current = makeAnnouncement();
    // Available resources and the configuration revision change often and are sent in heartbeats.
    announce comparable = current;
    comparable.available = m_lastAnnouncement.available;
    comparable.configRevision = m_lastAnnouncement.configRevision;
    if (comparable == m_lastAnnouncement)
        return;
    m_lastAnnouncement = current;
    for (const connection_id entry : m_entries)
        m_actions.emplace_back(send_message{ entry, current });
}

void agent_task_shard::finishDrain(instant now)
{
    if (!m_drainStarted || m_exitSent || now - *m_drainStarted < drainLinger)
        return;
    if (!m_holder.drained() || !m_shared->admissionIdle)
        return;
    m_exitSent = true;
    m_actions.emplace_back(write_log{ log_level::info, "drain_finished", {} });
    m_actions.emplace_back(exit_process{});
}

void agent_task_shard::updateGateway(instant now)
{
    if (m_gateways.current() == m_gateway)
        return;
    m_gateway = m_gateways.current();
    m_holder.onGateway(now, m_gateway);
}

announce agent_task_shard::makeAnnouncement() const
{
    const agent_role_options &options = m_shared->options;
    const std::uint32_t slots = m_shared->slots;
    return { .vm = options.vm,
             .dataCentre = options.dataCentre,
             .rack = options.rack.empty() ? m_holder.rack() : options.rack,
             .incarnation = options.incarnation,
             .workerBoot = m_holder.workerBoot(),
             .capacity = m_holder.capacity(),
             .available = m_holder.available(),
             .templateName = options.templateName,
             .slots = slots == 0 ? options.slots : slots,
             .connections = options.connections,
             .draining = m_shared->draining,
             .configRevision = m_config.revision() };
}

heartbeat agent_task_shard::makeHeartbeat() const
{
    return { .available = m_holder.available(),
             .running = m_shared->running,
             .queued = m_shared->queued,
             .draining = m_shared->draining,
             .throttlePercent = m_throttle.percent(),
             .configRevision = m_config.revision() };
}

} // namespace plantainpitch::detail
