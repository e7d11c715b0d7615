#pragma once

#include "plantainpitch/model/instant.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace plantainpitch::detail {

/// Latency of a service within one time window. Packs into a single 64-bit value, so that shards
/// can exchange it through an atomic without a lock.
struct service_latency
{
    static constexpr duration windowLength = std::chrono::seconds(1);

    std::uint32_t window = 0; ///< window number, counted from the clock's epoch
    std::uint32_t latencyUs = 0; ///< 99th percentile

    [[nodiscard]] std::uint64_t packed() const { return std::uint64_t(window) << 32U | latencyUs; }
    static service_latency unpack(std::uint64_t value)
    {
        return { .window = static_cast<std::uint32_t>(value >> 32U),
                 .latencyUs = static_cast<std::uint32_t>(value) };
    }
    static std::uint32_t windowOf(instant now)
    {
        return static_cast<std::uint32_t>(now.time_since_epoch() / windowLength);
    }
    static std::uint32_t clampUs(duration value)
    {
        constexpr std::int64_t maxUs = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, maxUs));
    }
};

} // namespace plantainpitch::detail
