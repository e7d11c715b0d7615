#pragma once

namespace plantainpitch::sched {

/// What the connections of an owner to its members tell about other owners. A member keeps to the
/// latest owner that has connected to it.
struct member_contact
{
    /// All members have been heard just now, so that no later owner is connected to one of them.
    bool all = false;
    /// One of those that have been heard had an earlier owner. That owner has lost it and does not
    /// hear all of its members any more.
    bool formerlyOwned = false;

    bool operator==(const member_contact &) const = default;
};

} // namespace plantainpitch::sched
