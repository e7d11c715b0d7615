#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <map>
#include <optional>
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
    /// The call has failed; \a hold is the number of the last hold that was sent before.
    void failed(const run_key &run, std::uint64_t hold);
    /// The worker has answered a stop of the run, which is sent after the call has failed.
    void stopAnswered(const run_key &run);
    void holdAnswered(std::uint64_t hold);
    /// The worker has answered the start, or has listed the run or its end.
    void settle(const run_key &run);
    /// Whether the worker has answered a call that was sent after the start had failed. If not, the
    /// start most likely failed because the worker ended.
    [[nodiscard]] bool isDelayed(const run_key &run) const;
    /// Forgets starts that are too old to be carried out.
    void removeExpired(instant now);
    /// The starts that were sent to the worker \a workerId.
    [[nodiscard]] std::vector<run_key> sentTo(const std::string &workerId) const;

private:
    struct sent_start
    {
        std::string workerId;
        instant at{};
        std::optional<std::uint64_t> failedAfterHold;
        bool isDelayed = false;
    };

    std::map<run_key, sent_start> m_starts;
};

} // namespace plantainpitch::sched
