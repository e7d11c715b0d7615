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

/// Decides how much the batch tasks of a VM are throttled in favour of its service. Does nothing
/// before the service's template is known.
class batch_throttle
{
public:
    /// True for answers to calls of poll().
    static bool owns(const worker_answer &answer) { return (answer.callId & callIdBit) != 0; }

    void onTemplate(const work_template &service);
    void onUsage(instant now, const worker_answer &answer);
    /// The call that asks for the usage of the tasks, if it is due.
    std::optional<worker_call> poll(instant now, std::size_t taskCount);
    /// Once per interval; \a seen counts once.
    std::optional<throttle_decision> decide(instant now, const service_latency &seen);

    [[nodiscard]] std::uint32_t percent() const { return m_percent; }
    /// The task that used the most processors; none if no recent sample names one.
    [[nodiscard]] std::optional<task_id> largestTask() const;

private:
    /// The task holder numbers its calls from 1.
    static constexpr std::uint64_t callIdBit = std::uint64_t(1) << 63U;

    [[nodiscard]] bool batchWasIdle(instant now) const;

    std::unique_ptr<throttle_controller> m_controller; ///< null: no service is known
    weighting m_goal = weighting::tail_latency;
    std::int64_t m_targetMs = 0;
    std::uint32_t m_percent = 0;
    std::uint32_t m_lastWindow = 0;
    std::uint64_t m_lastCall = 0;
    instant m_lastPoll{ duration::min() / 2 };
    instant m_lastDecision{ duration::min() / 2 };
    instant m_usageAt{ duration::min() / 2 };
    std::vector<usage_sample> m_usage; ///< last answer
    std::size_t m_tasks = 0;
};

} // namespace plantainpitch::detail
