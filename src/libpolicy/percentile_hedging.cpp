#include "plantainpitch/policy/percentile_hedging.h"

#include <algorithm>

namespace plantainpitch {

percentile_hedging::percentile_hedging(percentile_hedging_options options)
    : m_options(options)
    , m_budget(options.budgetRatio)
{
    m_latencies.reserve(options.window);
}

void percentile_hedging::onRequest()
{
    m_budget.onRequest();
}

bool percentile_hedging::tryAcquire()
{
    return m_budget.tryAcquire();
}

void percentile_hedging::onLatency(duration value)
{
    if (m_latencies.size() < m_options.window)
        m_latencies.push_back(value);
    else
        m_latencies[m_next] = value;
    m_next = (m_next + 1) % m_options.window;
    if (m_latencies.size() < m_options.minSamples
        || (m_delay && ++m_sinceRecomputed < m_options.recomputeInterval))
        return;
    m_sinceRecomputed = 0;
    std::vector<duration> sorted = m_latencies;
    const auto index = static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size() - 1)
                                                   * m_options.percentile);
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    m_delay = sorted[static_cast<std::size_t>(index)];
}

} // namespace plantainpitch
