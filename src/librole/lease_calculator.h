#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <optional>

namespace plantainpitch {

/// Converts the end of an authority to the worker's clock. The clock sample is older than any call
/// that uses it, so a delay can only make the lease end too early.
class lease_calculator
{
public:
    void onAnswer(instant received, std::int64_t workerClockUs)
    {
        m_received = received;
        m_workerClockUs = workerClockUs;
    }
    /// Discards the sample of an earlier boot of the worker.
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

/// Longest time that a task may keep running on its VM after its claim was revoked.
inline duration revocationWait(duration term, double driftRatio, duration margin)
{
    const auto drift = static_cast<std::int64_t>(static_cast<double>(term.count()) * driftRatio);
    return term + duration(drift) + margin;
}

} // namespace plantainpitch
