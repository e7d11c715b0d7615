#pragma once

#include "service_latency.h"

#include "plantainpitch/model/work_template.h"
#include "plantainpitch/policy/throttle_controller.h"
#include "plantainpitch/role/worker/worker_answer.h"
#include "plantainpitch/role/worker/worker_call.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace plantainpitch::detail {

/// Decides how far the batch tasks of a VM are throttled to keep the latency of its service at the
/// target. Inactive until the template of the service is known.
class batch_throttle
{
public:
    /// True for answers to calls that poll() returned.
    static bool isUsageAnswer(const worker_answer &answer)
    {
        return (answer.callId & callIdBit) != 0;
    }

    void onTemplate(const work_template &service);
    void onUsage(instant now, const worker_answer &answer);
    /// Returns the call that queries the usage of the tasks, if it is due.
    std::optional<worker_call> poll(instant now, std::size_t taskCount);
    /// Returns a decision once per interval. Each latency window is evaluated only once.
    std::optional<throttle_decision> decide(instant now, const service_latency &latency);

    [[nodiscard]] std::uint32_t percent() const { return m_percent; }
    /// The task with the highest processor usage; none without a recent sample.
    [[nodiscard]] std::optional<task_id> largestTask() const;

private:
    /// Distinguishes these calls from those of the task holder, which are numbered from 1.
    static constexpr std::uint64_t callIdBit = std::uint64_t(1) << 63U;

    [[nodiscard]] bool batchWasIdle(instant now) const;

    std::unique_ptr<throttle_controller> m_controller; ///< null until the service is known
    weighting m_goal = weighting::tail_latency;
    std::int64_t m_targetMs = 0;
    std::uint32_t m_percent = 0;
    std::uint32_t m_lastWindow = 0;
    std::uint64_t m_lastCall = 0;
    instant m_lastPoll{ duration::min() / 2 };
    instant m_lastDecision{ duration::min() / 2 };
    instant m_usageAt{ duration::min() / 2 };
    std::vector<usage_sample> m_usage; ///< from the last answer
    std::size_t m_taskCount = 0;
};

} // namespace plantainpitch::detail
