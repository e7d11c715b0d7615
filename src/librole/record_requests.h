#pragma once

#include "plantainpitch/log/log_record.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/task_id.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/record_outcome.h"

#include <cstdint>
#include <map>
#include <utility>

namespace plantainpitch {

/// Submits records about tasks, at most one per task at a time.
class record_requests
{
public:
    explicit record_requests(action_list &actions)
        : m_actions(actions)
    {}

    /// Returns false if a record for the task is outstanding or was refused within the last second.
    bool submit(instant now, const task_id &task, log_record record)
    {
        const auto [request, added] = m_requests.try_emplace(task);
        if (!added && (request->second.token != 0 || now < request->second.retryAt))
            return false;
        request->second.token = ++m_lastToken;
        m_taskByToken[m_lastToken] = task;
        m_actions.emplace_back(submit_record{ .token = m_lastToken, .record = std::move(record) });
        return true;
    }

    void onOutcome(instant now, const record_outcome &outcome)
    {
        const auto found = m_taskByToken.find(outcome.token);
        if (found == m_taskByToken.end())
            return;
        // Log outages last seconds or longer.
        if (outcome.appended)
            m_requests.erase(found->second);
        else
            m_requests[found->second] = { .retryAt = now + std::chrono::seconds(1) };
        m_taskByToken.erase(found);
    }

private:
    struct request
    {
        std::uint64_t token = 0; ///< 0: none outstanding
        instant retryAt;
    };

    action_list &m_actions;
    std::uint64_t m_lastToken = 0;
    std::map<task_id, request> m_requests;
    std::map<std::uint64_t, task_id> m_taskByToken; ///< by token
};

} // namespace plantainpitch
