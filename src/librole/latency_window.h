#pragma once

#include "service_latency.h"

#include <optional>
#include <vector>

namespace plantainpitch::detail {

/// Collects the service times of one window after another.
class latency_window
{
public:
    void add(duration taken);
    /// The window that has ended, once. Without any service time it tells something only if the
    /// service was idle: then nothing was slow.
    std::optional<service_latency> publish(instant now, bool idle);

private:
    std::uint32_t m_window = 0;
    std::vector<std::uint32_t> m_timesUs;
};

} // namespace plantainpitch::detail
