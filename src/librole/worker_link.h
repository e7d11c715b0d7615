#pragma once

#include "lease_calculator.h"

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/worker/worker_answer.h"
#include "plantainpitch/role/worker/worker_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace plantainpitch {

/// Tracks the outstanding calls to the worker. Answers to other calls are ignored; a call that
/// timed out has the final result no_answer.
class worker_link
{
public:
    struct pending_call
    {
        worker_operation operation = worker_operation::list;
        task_id task;
        instant sentAt;
    };

    worker_link(action_list &actions, duration callTimeout)
        : m_actions(actions)
        , m_callTimeout(callTimeout)
    {}

    /// Returns the id of the call; ids increase.
    std::uint64_t send(instant now, worker_call call);
    /// Removes and returns the call that is answered; none if the answer is late or unknown.
    std::optional<pending_call> take(instant now, const worker_answer &answer);
    /// Returns an answer no_answer for each call past the timeout. take() removes the call.
    std::vector<worker_answer> expire(instant now);
    /// Drops all calls and the clock sample after a reboot: answers to older calls do not describe
    /// the new boot.
    void abandonAll();

    /// Id of the most recent call; later calls have higher ids.
    [[nodiscard]] std::uint64_t lastCallId() const { return m_lastCallId; }
    [[nodiscard]] const lease_calculator &lease() const { return m_lease; }
    void useClockOf(instant received, std::int64_t workerClockUs)
    {
        m_lease.onAnswer(received, workerClockUs);
    }

private:
    action_list &m_actions;
    duration m_callTimeout;
    std::uint64_t m_lastCallId = 0;
    std::map<std::uint64_t, pending_call> m_pending;
    lease_calculator m_lease;
};

} // namespace plantainpitch
