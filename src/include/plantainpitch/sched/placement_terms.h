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

    bool operator==(const placement_terms &) const = default;
};

} // namespace plantainpitch::sched
