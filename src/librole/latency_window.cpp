#include "latency_window.h"

#include <algorithm>

namespace plantainpitch::detail {

namespace {

// Bounds the memory. In a window with more answers only the first ones are sampled.
constexpr std::size_t maxTimes = 8192;

} // namespace

void latency_window::add(duration serviceTime)
{
    if (m_timesUs.size() < maxTimes)
        m_timesUs.push_back(service_latency::clampUs(serviceTime));
}

std::optional<service_latency> latency_window::publish(instant now, bool idle)
{
    const std::uint32_t current = service_latency::windowOf(now);
    if (current == m_window)
        return std::nullopt;
    service_latency ended{ .window = m_window };
    m_window = current;
    if (m_timesUs.empty())
        return idle ? std::optional(ended) : std::nullopt;
    const auto percentile99 =
            m_timesUs.begin() + static_cast<std::ptrdiff_t>((m_timesUs.size() * 99 + 99) / 100 - 1);
    std::nth_element(m_timesUs.begin(), percentile99, m_timesUs.end());
    ended.latencyUs = *percentile99;
    m_timesUs.clear();
    return ended;
}

} // namespace plantainpitch::detail
