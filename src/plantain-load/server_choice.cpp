#include "server_choice.h"

#include <algorithm>

namespace plantainpitch::load {

namespace {

/// About the time between two health checks of a load balancer.
constexpr std::chrono::milliseconds outTime{ 1'000 };

} // namespace

server_choice::server_choice(std::size_t servers)
    : m_outUntil(servers)
{}

std::size_t server_choice::next(time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_outUntil.size(); ++i) {
        m_last = (m_last + 1) % m_outUntil.size();
        if (m_outUntil[m_last] <= now)
            return m_last;
    }
    const auto earliest = std::min_element(m_outUntil.begin(), m_outUntil.end());
    return static_cast<std::size_t>(earliest - m_outUntil.begin());
}

void server_choice::leaveOut(std::size_t server, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_outUntil[server] = now + outTime;
}

} // namespace plantainpitch::load
