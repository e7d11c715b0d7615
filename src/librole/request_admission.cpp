#include "plantainpitch/role/request_admission.h"

#include "admission_state.h"

#include <utility>

namespace plantainpitch {

request_admission::request_admission(request_admission_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{}

request_admission::~request_admission() = default;

void request_admission::onEntryConnected(instant now, connection_id connection,
                                         std::uint64_t entryIncarnation)
{
    m_state->history.removeExpired(now);
    m_state->connections[entryIncarnation] = connection;
}

void request_admission::onEntryDisconnected(instant /*now*/, connection_id connection)
{
    // Requests of this entry are kept: it may reconnect and ask for their outcome.
    std::erase_if(m_state->connections,
                  [connection](const auto &entry) { return entry.second == connection; });
}

void request_admission::onDispatch(instant now, connection_id from, const dispatch &request)
{
    m_state->onDispatch(now, from, request);
}

void request_admission::onCancel(instant now, connection_id from, const cancel &request)
{
    m_state->onCancel(now, from, request);
}

void request_admission::onServiceResult(instant now, const service_result &result)
{
    m_state->onServiceResult(now, result);
}

void request_admission::onLimits(std::uint32_t slots, std::uint32_t queueLimit)
{
    m_state->options.slots = slots;
    m_state->options.queueLimit = queueLimit;
}

void request_admission::tick(instant now)
{
    m_state->refuseExpired(now);
    m_state->startQueued(now);
    m_state->history.removeExpired(now);
}

void request_admission::drain(instant /*now*/)
{
    m_state->draining = true;
}

bool request_admission::draining() const
{
    return m_state->draining;
}

bool request_admission::idle() const
{
    return m_state->queue.empty() && m_state->running.empty();
}

std::uint32_t request_admission::running() const
{
    return static_cast<std::uint32_t>(m_state->running.size());
}

std::uint32_t request_admission::queued() const
{
    return static_cast<std::uint32_t>(m_state->queue.size());
}

action_list request_admission::takeActions()
{
    return std::exchange(m_state->actions, {});
}

} // namespace plantainpitch
