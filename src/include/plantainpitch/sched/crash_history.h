#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/messages.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// The recent crashes of one worker, as its agent has seen them. They are reported to each new
/// owner, because an owner may end before it has stored what a report says.
class crash_history
{
public:
    /// A run on a worker that has crashed. \a age is the time from the sending of its start to the
    /// worker's last sign of life; negative if none came after it.
    struct run
    {
        std::string task;
        std::uint32_t number = 0;
        duration age{};

        bool operator==(const run &) const = default;
    };

    /// Records a crash of an incarnation. Returns false if it is known already.
    bool add(const std::string &worker, std::uint64_t startMs, std::vector<run> runs, instant now);
    /// Returns the crashes of the last half minute for a report that is sent at \a now.
    [[nodiscard]] std::vector<std::unique_ptr<worker_crash>> reportable(instant now) const;

private:
    struct crash
    {
        std::string worker;
        std::uint64_t startMs = 0;
        instant at{};
        std::vector<run> runs;
    };
    std::deque<crash> m_crashes;
};

} // namespace plantainpitch::sched
