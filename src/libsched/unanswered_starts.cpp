#include "plantainpitch/sched/unanswered_starts.h"

namespace plantainpitch::sched {

void unanswered_starts::sent(const run_key &run, const std::string &workerId, instant now)
{
    m_starts[run] = { .workerId = workerId, .at = now };
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
