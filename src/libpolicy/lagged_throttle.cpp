#include "plantainpitch/policy/lagged_throttle.h"

#include <algorithm>

namespace plantainpitch {

namespace {

// Samples older than this are not attributed to any share.
constexpr std::int64_t historyWindowUs = 60'000'000;
constexpr double usPerSecond = 1e6;
// New share after a sample above the goal, relative to the share in force in its period.
constexpr double decreaseFactor = 0.7;

} // namespace

lagged_throttle::lagged_throttle(lagged_throttle_options options)
    : m_options(options)
    , m_share(options.minShare)
    , m_evictionTokens(options.evictionBurst)
{}

double lagged_throttle::largestShare(std::int64_t fromUs, std::int64_t toUs) const
{
    double largest = 0;
    for (std::size_t i = 0; i < m_history.size(); ++i) {
        const bool endsBefore = i + 1 < m_history.size() && m_history[i + 1].atUs <= fromUs;
        if (!endsBefore && m_history[i].atUs < toUs)
            largest = std::max(largest, m_history[i].share);
    }
    return largest;
}

void lagged_throttle::onSample(const latency_sample &sample)
{
    const double share = largestShare(sample.fromUs, sample.toUs);
    const double goal = latencyGoal(m_options.goal);
    // The share limit aims at the goal, so jitter alone puts half of the samples above it.
    if (sample.latencyRatio > (goal + 1) / 2) {
        // Starts from the share in the period of the sample, so that a share that was lowered since
        // is not lowered a second time.
        m_feedbackLimit =
                std::min(m_feedbackLimit, std::max(share * decreaseFactor, m_options.minShare));
        m_mayRaise = false;
        const bool atMin = share <= m_options.minShare * 1.01;
        if (sample.latencyRatio > 1 && atMin)
            ++m_violationsAtMin;
        return;
    }
    m_violationsAtMin = 0;
    // Only a sample taken at about the current share shows that the share can be raised.
    m_mayRaise = sample.latencyRatio < goal - m_options.hysteresis && share >= m_share * 0.9;
}

throttle_decision lagged_throttle::decide(std::int64_t nowUs, double shareLimit)
{
    const double seconds =
            m_history.empty() ? 0 : static_cast<double>(nowUs - m_lastDecisionUs) / usPerSecond;
    m_lastDecisionUs = nowUs;
    if (m_mayRaise)
        m_feedbackLimit = std::min(1.0, m_feedbackLimit + m_options.raisePerSecond * seconds);
    const double targetShare =
            std::clamp(std::min(m_feedbackLimit, shareLimit), m_options.minShare, 1.0);
    m_share = std::min(targetShare, m_share + m_options.raisePerSecond * std::max(seconds, 0.0));
    if (m_history.empty() || m_history.back().share != m_share)
        m_history.push_back({ .atUs = nowUs, .share = m_share });
    while (m_history.size() > 1 && m_history[1].atUs < nowUs - historyWindowUs)
        m_history.pop_front();

    m_evictionTokens = std::min<double>(
            m_options.evictionBurst,
            m_evictionTokens
                    + seconds * usPerSecond / static_cast<double>(m_options.evictionIntervalUs));
    throttle_decision decision{ .batchShare = m_share };
    if (m_violationsAtMin >= m_options.violationsBeforeEviction && m_evictionTokens >= 1) {
        decision.evict = true;
        m_evictionTokens -= 1;
        m_violationsAtMin = 0;
    }
    return decision;
}

} // namespace plantainpitch
