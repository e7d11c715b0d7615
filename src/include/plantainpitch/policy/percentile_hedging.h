#pragma once

#include "plantainpitch/policy/hedge_policy.h"
#include "plantainpitch/policy/token_bucket.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

struct percentile_hedging_options
{
    double percentile = 0.95;
    double budgetRatio = 0.05; ///< hedges per request
    std::size_t window = 512; ///< number of latest latencies that the percentile is taken from
    std::size_t minSamples = 50; ///< latencies required before the first hedge
    std::size_t recomputeInterval = 32; ///< latencies between two computations of the delay
};

/// Hedges after a percentile of the service's latency (by default the 95th), within a budget.
class percentile_hedging final : public hedge_policy
{
public:
    explicit percentile_hedging(percentile_hedging_options options = {});

    void onRequest() override;
    void onLatency(duration value) override;
    [[nodiscard]] std::optional<duration> delay() const override { return m_delay; }
    bool tryAcquire() override;

private:
    percentile_hedging_options m_options;
    token_bucket m_budget;
    std::vector<duration> m_latencies; ///< ring buffer
    std::size_t m_next = 0;
    std::size_t m_sinceRecomputed = 0;
    std::optional<duration> m_delay;
};

} // namespace plantainpitch
