#pragma once

#include "plantainpitch/policy/latency_sample.h"
#include "plantainpitch/policy/throttle_decision.h"

#include <cstdint>

namespace plantainpitch {

/// Decides which share of their processors batch tasks may use on one VM, and when to evict one.
/// Not thread-safe.
class throttle_controller
{
public:
    throttle_controller() = default;
    throttle_controller(const throttle_controller &) = delete;
    throttle_controller &operator=(const throttle_controller &) = delete;
    virtual ~throttle_controller() = default;

    /// Samples arrive late, in the order of their periods.
    virtual void onSample(const latency_sample &sample) = 0;
    /// \a shareLimit: largest share at which the latency is expected to stay within the target; 1
    /// if there is no estimate.
    virtual throttle_decision decide(std::int64_t nowUs, double shareLimit) = 0;
};

} // namespace plantainpitch
