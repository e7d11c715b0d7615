#pragma once

namespace plantainpitch {

struct throttle_decision
{
    double batchShare = 1; ///< share of their processors that batch tasks may use
    bool evict = false; ///< one task is to be evicted

    bool operator==(const throttle_decision &) const = default;
};

} // namespace plantainpitch
