#pragma once

#include "plantainpitch/policy/throttle_controller.h"

namespace plantainpitch {

/// Baseline: never throttles, and evicts a task for each sample above the target.
class evict_on_violation final : public throttle_controller
{
public:
    void onSample(const latency_sample &sample) override;
    throttle_decision decide(std::int64_t nowUs, double shareLimit) override;

private:
    bool m_violated = false;
};

} // namespace plantainpitch
