#include "gateway_selector.h"

#include <tuple>

namespace plantainpitch::detail {

namespace {

/// An agent requests authority every 2 s. A gateway that leaves two requests unanswered is replaced
/// well before an authority term of 10 s ends.
constexpr duration answerTimeout = std::chrono::milliseconds(4500);

} // namespace

void gateway_selector::onConnected(instant now, connection_id connection, const hello &peer)
{
    m_candidates[connection] = { .dataCentre = peer.dataCentre, .lastTried = instant() };
    if (m_current == 0)
        select(now);
}

void gateway_selector::onDisconnected(connection_id connection)
{
    m_candidates.erase(connection);
    if (m_current == connection)
        m_current = 0;
}

void gateway_selector::onAnswer(instant now)
{
    m_lastAnswer = now;
}

void gateway_selector::tick(instant now)
{
    if (m_current == 0 || (now - m_lastAnswer > answerTimeout && m_candidates.size() > 1))
        select(now);
}

void gateway_selector::select(instant now)
{
    if (m_candidates.empty())
        return;
    // Prefer the entry that was tried longest ago, so that entries which accept connections but
    // cannot reach the log do not block the others.
    auto best = m_candidates.begin();
    const auto rank = [this](const auto &item) {
        const bool remote = item.second.dataCentre != m_dataCentre;
        return std::make_tuple(item.first == m_current, item.second.lastTried, remote, item.first);
    };
    for (auto it = m_candidates.begin(); it != m_candidates.end(); ++it) {
        if (rank(*it) < rank(*best))
            best = it;
    }
    m_current = best->first;
    best->second.lastTried = now;
    m_lastAnswer = now;
}

} // namespace plantainpitch::detail
