#pragma once

#include "plantainpitch/policy/lagged_throttle_options.h"
#include "plantainpitch/policy/throttle_controller.h"

#include <cstdint>
#include <deque>

namespace plantainpitch {

/// Throttles on latency samples that arrive late. Attributes each sample to the batch share in
/// force in its period, so that a late sample does not lower the share again for a violation that
/// was already corrected. Lowers the share at once and raises it slowly, with hysteresis; evicts
/// only at the lowest share and within a budget.
class lagged_throttle final : public throttle_controller
{
public:
    explicit lagged_throttle(lagged_throttle_options options);

    void onSample(const latency_sample &sample) override;
    throttle_decision decide(std::int64_t nowUs, double shareLimit) override;

private:
    struct change
    {
        std::int64_t atUs = 0;
        double share = 0;
    };

    /// Largest share in force within a period.
    [[nodiscard]] double largestShare(std::int64_t fromUs, std::int64_t toUs) const;

    lagged_throttle_options m_options;
    std::deque<change> m_history;
    double m_share;
    double m_feedbackLimit = 1; ///< share limit from latency samples; raised slowly
    bool m_mayRaise = false;
    std::int64_t m_lastDecisionUs = 0;
    std::uint32_t m_violationsAtMin = 0;
    double m_evictionTokens;
};

} // namespace plantainpitch
