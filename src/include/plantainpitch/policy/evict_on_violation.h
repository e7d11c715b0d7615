#pragma once

#include "plantainpitch/policy/throttle_controller.h"

namespace plantainpitch {

/// Baseline: never throttles, and evicts one task after a sample above the latency target.
class evict_on_violation final : public throttle_controller
{
public:
    void onSample(const latency_sample &sample) override;
    throttle_decision decide(std::int64_t nowUs, double shareLimit) override;

private:
    bool m_violated = false;
};

} // namespace plantainpitch
