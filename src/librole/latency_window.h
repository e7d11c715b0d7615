#pragma once

#include "service_latency.h"

#include <optional>
#include <vector>

namespace plantainpitch::detail {

/// Collects service times per window and publishes their 99th percentile.
class latency_window
{
public:
    void add(duration serviceTime);
    /// Returns each ended window once. A window without service times is returned, with latency 0,
    /// only if the service was idle.
    std::optional<service_latency> publish(instant now, bool idle);

private:
    std::uint32_t m_window = 0;
    std::vector<std::uint32_t> m_timesUs;
};

} // namespace plantainpitch::detail
