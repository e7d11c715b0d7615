#pragma once

#include "plantainpitch/model/weighting.h"

#include <cstdint>

namespace plantainpitch {

struct lagged_throttle_options
{
    weighting goal = weighting::tail_latency;
    double minShare = 0.02;
    double raiseStep = 0.04; ///< per second without a sample near the goal
    double hysteresis = 0.06; ///< of the latency ratio below the goal, before the share is raised
    std::uint32_t violationsBeforeEviction = 5; ///< samples at the lowest share
    std::int64_t evictionIntervalUs = 600'000'000; ///< the budget gains one eviction in this time
    std::uint32_t evictionBurst = 1;
};

} // namespace plantainpitch
