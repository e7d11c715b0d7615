#include "record_outbox.h"

#include "plantainpitch/role/message/record_submit.h"

#include <chrono>
#include <utility>

namespace plantainpitch {

namespace {

// An entry refuses records while the log is unavailable; outages last seconds or longer.
constexpr duration retryDelay = std::chrono::milliseconds(500);

} // namespace

void record_outbox::setGateway(instant now, connection_id gateway)
{
    m_gateway = gateway;
    (void)now;
    if (gateway == 0)
        return;
    for (auto &[ticket, waiting] : m_waiting)
        send(ticket, waiting);
}

std::uint64_t record_outbox::submit(instant now, log_record record)
{
    (void)now;
    const std::uint64_t ticket = m_nextTicket++;
    waiting_record &waiting = m_waiting[ticket];
    waiting.record = std::move(record);
    send(ticket, waiting);
    return ticket;
}

record_outbox::submission_state record_outbox::onSettled(instant now, const record_settled &settled,
                                                         bool mayDrop)
{
    const auto found = m_waiting.find(settled.ticket);
    if (found == m_waiting.end())
        return submission_state::unknown_ticket;
    if (!settled.position.isNone()) {
        m_waiting.erase(found);
        return submission_state::settled;
    }
    if (mayDrop && found->second.submissions <= 1) {
        m_waiting.erase(found);
        return submission_state::not_appended;
    }
    found->second.retryAt = now + retryDelay;
    return submission_state::retry_scheduled;
}

void record_outbox::tick(instant now)
{
    if (m_gateway == 0)
        return;
    for (auto &[ticket, waiting] : m_waiting) {
        if (waiting.retryAt && now >= *waiting.retryAt)
            send(ticket, waiting);
    }
}

void record_outbox::send(std::uint64_t ticket, waiting_record &waiting)
{
    if (m_gateway == 0)
        return;
    ++waiting.submissions;
    waiting.retryAt.reset();
    m_actions.emplace_back(
            send_message{ .connection = m_gateway,
                          .content = record_submit{ .ticket = ticket, .record = waiting.record } });
}

} // namespace plantainpitch
