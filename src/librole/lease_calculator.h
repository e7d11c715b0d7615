#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <optional>

namespace plantainpitch {

/// Expresses the end of an authority in the worker's clock. The sample is older than any call
/// made with it, so a delayed call can only carry a lease that ends too early.
class lease_calculator
{
public:
    void onAnswer(instant received, std::int64_t workerClockUs)
    {
        m_received = received;
        m_workerClockUs = workerClockUs;
    }
    /// Forgets the sample, which belongs to an earlier boot of the worker.
    void reset() { m_workerClockUs.reset(); }

    [[nodiscard]] bool ready() const { return m_workerClockUs.has_value(); }
    /// Only valid if ready().
    [[nodiscard]] std::int64_t leaseUntilUs(instant authorityUntil) const
    {
        return m_workerClockUs.value_or(0) + (authorityUntil - m_received).count();
    }

private:
    instant m_received;
    std::optional<std::int64_t> m_workerClockUs;
};

/// How long a task may still run somewhere after its claim was revoked.
inline duration revocationWait(duration term, double driftRatio, duration margin)
{
    const auto drift = static_cast<std::int64_t>(static_cast<double>(term.count()) * driftRatio);
    return term + duration(drift) + margin;
}

} // namespace plantainpitch
