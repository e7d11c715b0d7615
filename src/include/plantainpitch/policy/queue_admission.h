#pragma once

#include "plantainpitch/policy/admission_policy.h"

namespace plantainpitch {

/// Admits a request if the estimated wait in the queue and one mean service time fit before the
/// deadline. The estimate is (queue length x mean service time / slots).
class queue_admission final : public admission_policy
{
public:
    [[nodiscard]] bool canFinish(const admission_load &load, duration timeLeft) const override;
    void onServiceTime(duration value) override;

    /// Exponential moving average; zero before the first measurement.
    [[nodiscard]] duration meanServiceTime() const;

private:
    double m_meanUs = 0;
    bool m_known = false;
};

} // namespace plantainpitch
