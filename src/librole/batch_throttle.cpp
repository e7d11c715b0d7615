#include "batch_throttle.h"

#include "plantainpitch/policy/lagged_throttle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainpitch::detail {

namespace {

constexpr duration interval = std::chrono::seconds(1);
// Older samples no longer describe the current tasks.
constexpr duration usageValidFor = std::chrono::seconds(5);
constexpr double usPerMs = 1000;

} // namespace

void batch_throttle::onTemplate(const work_template &service)
{
    m_targetMs = service.latencyTargetMs;
    if (m_controller && m_goal == service.goal)
        return;
    m_goal = service.goal;
    m_controller = std::make_unique<lagged_throttle>(lagged_throttle_options{ .goal = m_goal });
}

void batch_throttle::onUsage(instant now, const worker_answer &answer)
{
    // Ignores answers to earlier polls, which may be older than the stored samples.
    if (answer.callId != (callIdBit | m_lastCall) || answer.result != worker_result::ok)
        return;
    m_usage = answer.usage;
    m_usageAt = now;
}

std::optional<worker_call> batch_throttle::poll(instant now, std::size_t taskCount)
{
    m_taskCount = taskCount;
    if (!m_controller || taskCount == 0 || now < m_lastPoll + interval)
        return std::nullopt;
    m_lastPoll = now;
    return worker_call{ .callId = callIdBit | ++m_lastCall, .operation = worker_operation::usage };
}

bool batch_throttle::batchWasIdle(instant now) const
{
    if (m_taskCount == 0)
        return true;
    return now < m_usageAt + usageValidFor
           && std::all_of(m_usage.begin(), m_usage.end(),
                          [](const usage_sample &sample) { return sample.processorsMilli == 0; });
}

std::optional<throttle_decision> batch_throttle::decide(instant now, const service_latency &latency)
{
    if (!m_controller || now < m_lastDecision + interval)
        return std::nullopt;
    m_lastDecision = now;
    if (latency.window != m_lastWindow) {
        m_lastWindow = latency.window;
        const std::int64_t lengthUs = service_latency::windowLength.count();
        const double ratio = latency.latencyUs / (usPerMs * static_cast<double>(m_targetMs));
        // Throttling does not help a service that is slow while no batch task uses processors.
        if (ratio < latencyGoal(m_goal) || !batchWasIdle(now))
            m_controller->onSample({ .fromUs = latency.window * lengthUs,
                                     .toUs = (latency.window + 1) * lengthUs,
                                     .latencyRatio = ratio });
    }
    throttle_decision decision = m_controller->decide(now.time_since_epoch().count(), 1);
    decision.evict = decision.evict && m_taskCount > 0;
    m_percent = static_cast<std::uint32_t>(std::lround((1 - decision.batchShare) * 100));
    return decision;
}

std::optional<task_id> batch_throttle::largestTask() const
{
    const auto largest = std::max_element(m_usage.begin(), m_usage.end(),
                                          [](const usage_sample &a, const usage_sample &b) {
                                              return a.processorsMilli < b.processorsMilli;
                                          });
    if (largest == m_usage.end() || m_lastDecision >= m_usageAt + usageValidFor)
        return std::nullopt;
    return largest->task;
}

} // namespace plantainpitch::detail
