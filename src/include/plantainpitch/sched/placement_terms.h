#pragma once

namespace plantainpitch::sched {

/// How urgently work needs a place.
struct placement_terms
{
    /// Its job has stood still for a while, so it may run where it has little headroom.
    bool starved = false;
    /// A long-running task that has waited too long: may use room held from other work.
    bool overdue = false;
    /// An excluded worker is better than none.
    bool mayUseExcluded = false;
    /// The job has stood still for too long although most of its service is free: if nothing else
    /// has room, a worker that is kept for a late job or room that is held from batch work will do.
    bool mayUseKept = false;
    /// Any worker that these terms allow counts, not just the best kind: the members of a gang need
    /// their places at the same time.
    bool together = false;

    /// Whether it may use room that is held from batch work.
    [[nodiscard]] bool mayUseHeldFromBatch() const { return overdue || mayUseKept; }

    bool operator==(const placement_terms &) const = default;
};

} // namespace plantainpitch::sched
