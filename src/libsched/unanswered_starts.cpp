#include "plantainpitch/sched/unanswered_starts.h"

namespace plantainpitch::sched {

void unanswered_starts::sent(const run_key &run, const std::string &workerId, instant now)
{
    m_starts[run] = { .workerId = workerId, .at = now };
}

void unanswered_starts::failed(const run_key &run, std::uint64_t hold)
{
    if (const auto found = m_starts.find(run); found != m_starts.end())
        found->second.failedAfterHold = hold;
}

void unanswered_starts::stopAnswered(const run_key &run)
{
    if (const auto found = m_starts.find(run); found != m_starts.end())
        found->second.isDelayed = true;
}

void unanswered_starts::holdAnswered(std::uint64_t hold)
{
    for (auto &[run, start] : m_starts) {
        if (start.failedAfterHold && *start.failedAfterHold < hold)
            start.isDelayed = true;
    }
}

bool unanswered_starts::isDelayed(const run_key &run) const
{
    const auto found = m_starts.find(run);
    return found != m_starts.end() && found->second.isDelayed;
}

void unanswered_starts::settle(const run_key &run)
{
    m_starts.erase(run);
}

void unanswered_starts::removeExpired(instant now)
{
    std::erase_if(m_starts,
                  [now](const auto &entry) { return now - entry.second.at >= lateCallWindow; });
}

std::vector<unanswered_starts::run_key> unanswered_starts::sentTo(const std::string &workerId) const
{
    std::vector<run_key> result;
    for (const auto &[run, start] : m_starts) {
        if (start.workerId == workerId)
            result.push_back(run);
    }
    return result;
}

} // namespace plantainpitch::sched
