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

/// Outstanding calls to the worker. An answer counts only while its call is outstanding; after
/// the timeout the call has the result no_answer for good.
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

    /// Returns the call's id; ids grow.
    std::uint64_t send(instant now, worker_call call);
    /// The call that is answered; none if the answer is late or unknown.
    std::optional<pending_call> take(instant now, const worker_answer &answer);
    /// Removes calls that are past the timeout and returns an answer for each.
    std::vector<worker_answer> expire(instant now);
    /// After a new boot: answers to older calls tell nothing about the new worker.
    void abandonAll();

    /// A call sent later has a higher id.
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
