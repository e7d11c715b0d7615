#include "plantainpitch/policy/evict_on_violation.h"

namespace plantainpitch {

void evict_on_violation::onSample(const latency_sample &sample)
{
    m_violated = sample.latencyRatio > 1;
}

throttle_decision evict_on_violation::decide(std::int64_t nowUs, double shareLimit)
{
    (void)nowUs;
    (void)shareLimit;
    const bool evict = m_violated;
    m_violated = false;
    return { .batchShare = 1, .evict = evict };
}

} // namespace plantainpitch
