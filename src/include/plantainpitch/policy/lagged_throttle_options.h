#pragma once

#include "plantainpitch/model/weighting.h"

#include <cstdint>

namespace plantainpitch {

struct lagged_throttle_options
{
    weighting goal = weighting::tail_latency;
    double minShare = 0.02;
    double raisePerSecond = 0.04; ///< while samples are below the goal by the hysteresis
    double hysteresis = 0.06; ///< of the latency ratio below the goal, before the share is raised
    std::uint32_t violationsBeforeEviction = 5; ///< samples above the target at the lowest share
    std::int64_t evictionIntervalUs = 600'000'000; ///< time in which the budget gains one eviction
    std::uint32_t evictionBurst = 1;
};

} // namespace plantainpitch
