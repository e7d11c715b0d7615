#pragma once

#include "plantainpitch/model/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// A run that was on a worker when the worker crashed.
struct run_at_crash
{
    duration age{}; ///< from its start to the worker's last sign of life
    bool trial = false; ///< to show whether its task crashes its workers
    std::string unit; ///< what starts as a whole: the task, or the gang that it is a member of

    bool operator==(const run_at_crash &) const = default;
};

/// The runs that may have caused a crash.
struct crash_suspects
{
    std::vector<std::size_t> runs; ///< indices of the given runs
    bool alone = false; ///< all are of one task or gang
    bool atOnce = false; ///< so soon after the start of one that chance is unlikely

    /// Whether the crash is strong evidence against the suspects.
    [[nodiscard]] bool conclusive() const { return alone && atOnce; }

    bool operator==(const crash_suspects &) const = default;
};

/// Returns the runs that may have caused the crash of their worker: those that had just begun. A
/// run that was there for longer has proved to be harmless.
crash_suspects findCrashSuspects(const std::vector<run_at_crash> &runs);

/// What speaks against a task.
struct crash_evidence
{
    std::uint32_t crashes = 0; ///< workers that have crashed right after they had started it
    std::uint32_t conclusive =
            0; ///< of these, crashes that followed at once, without other suspects
    /// Other workers crashed at the same moment as the last one, as after a rack failure.
    bool coincides = false;

    bool operator==(const crash_evidence &) const = default;
};

/// Whether the task is to be given up. One that is given up wrongly is lost for its caller; one
/// that goes on wrongly takes a worker with all its runs each time.
bool isGivenUp(const crash_evidence &evidence);

} // namespace plantainpitch::sched
