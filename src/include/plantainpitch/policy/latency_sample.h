#pragma once

#include <cstdint>

namespace plantainpitch {

/// Latency of a service over a past period, in the clock of the samples.
struct latency_sample
{
    std::int64_t fromUs = 0;
    std::int64_t toUs = 0;
    double latencyRatio = 0; ///< latency / target

    bool operator==(const latency_sample &) const = default;
};

} // namespace plantainpitch
