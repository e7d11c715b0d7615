#include "worker_link.h"

#include <utility>

namespace plantainpitch {

std::uint64_t worker_link::send(instant now, worker_call call)
{
    call.callId = ++m_lastCallId;
    m_pending[call.callId] = { .operation = call.operation, .task = call.task, .sentAt = now };
    m_actions.emplace_back(std::move(call));
    return m_lastCallId;
}

std::optional<worker_link::pending_call> worker_link::take(instant now, const worker_answer &answer)
{
    const auto found = m_pending.find(answer.callId);
    if (found == m_pending.end())
        return std::nullopt;
    pending_call call = found->second;
    m_pending.erase(found);
    // An answer without a clock did not come from the worker: the connection was refused.
    if (answer.result != worker_result::no_answer && answer.workerClockUs != 0)
        m_lease.onAnswer(now, answer.workerClockUs);
    return call;
}

std::vector<worker_answer> worker_link::expire(instant now)
{
    std::vector<worker_answer> expired;
    for (const auto &[id, call] : m_pending) {
        if (now >= call.sentAt + m_callTimeout)
            expired.push_back({ .callId = id, .operation = call.operation, .task = call.task });
    }
    return expired;
}

void worker_link::abandonAll()
{
    m_pending.clear();
    m_lease.reset();
}

} // namespace plantainpitch
