#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::sched {

/// A worker may carry out an unanswered call this much later, after newer ones.
constexpr std::chrono::milliseconds lateCallWindow{ 15'000 };

/// The starts that a worker may still carry out because it has not answered them. A call names the
/// worker's id, so the next incarnation may carry it out too. It knows of no stop that the last one
/// has accepted.
class unanswered_starts
{
public:
    using run_key = std::pair<std::string, std::uint32_t>; ///< task, run

    void sent(const run_key &run, const std::string &workerId, instant now);
    /// The worker has answered the start, or has listed the run or its end.
    void settle(const run_key &run);
    [[nodiscard]] bool includes(const run_key &run) const { return m_starts.count(run) > 0; }
    /// Forgets starts that are too old to be carried out.
    void removeExpired(instant now);
    /// The starts that were sent to the worker \a workerId.
    [[nodiscard]] std::vector<run_key> sentTo(const std::string &workerId) const;

private:
    struct sent_start
    {
        std::string workerId;
        instant at{};
    };

    std::map<run_key, sent_start> m_starts;
};

} // namespace plantainpitch::sched
