#pragma once

namespace plantainpitch::sched {

/// How urgently work needs a place.
struct placement_terms
{
    /// Its job has stood still for a while, so it may run where it has little headroom.
    bool starved = false;
    /// Its filling tasks may share left-over processors with others that use them already.
    bool mayShareLeftOver = false;
    /// A long-running task that has waited too long: may use room held from other work.
    bool overdue = false;
    /// An excluded worker is better than none.
    bool mayUseExcluded = false;
    /// If nothing else has room, a worker that is kept for a late job or room that is held from
    /// batch work will do.
    bool mayUseReserved = false;
    /// Sound workers, kept ones and excluded ones are eligible at the same time, as the members of
    /// a gang need all their places at once. Otherwise each kind is used only if the one before it
    /// has no room.
    bool combineWorkers = false;

    /// Whether it may use room that is held from batch work.
    [[nodiscard]] bool mayUseHeldFromBatch() const { return overdue || mayUseReserved; }

    bool operator==(const placement_terms &) const = default;
};

} // namespace plantainpitch::sched
