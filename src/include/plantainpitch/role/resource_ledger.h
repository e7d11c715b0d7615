#pragma once

#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"

#include <map>
#include <string>

namespace plantainpitch {

/// Tracks the capacity of one VM and the reservations and observed usage charged to it.
/// Not thread-safe.
class resource_ledger
{
public:
    /// \a withheld is never allocated to tasks.
    explicit resource_ledger(resources withheld = {})
        : m_withheld(withheld)
    {}

    /// \a capacity may be less than the reserved amount, e.g. after a worker restarted with fewer
    /// resources; reserve() then fails until enough has been released.
    void setCapacity(const resources &capacity);

    /// Reserves \a amount for \a task. Returns false if the task already holds a reservation, if
    /// the amount does not fit or if it is negative.
    /// Throws invariant_violation if the sum of all reservations would exceed the capacity.
    [[nodiscard]] bool reserve(const task_id &task, const resources &amount);
    void release(const task_id &task);

    /// Throws invariant_violation if the reservations exceed the capacity in force at the last
    /// reservation.
    void check() const;

    /// Sets the amount that the worker reports for a task, which may exceed the reservation or have
    /// none. Not checked against the capacity, because the task is already running.
    void observe(const task_id &task, const resources &amount);
    void forgetAllObserved();

    [[nodiscard]] resources capacity() const { return m_capacity; }
    [[nodiscard]] resources used() const;
    /// Capacity minus the withheld and used amounts; no component is negative.
    [[nodiscard]] resources available() const;

private:
    struct charge
    {
        resources reserved;
        resources observed;
        bool holdsReservation = false;
    };

    [[nodiscard]] std::string describe() const;

    resources m_withheld;
    resources m_capacity;
    resources m_capacityAtReserve;
    std::map<task_id, charge> m_charges;
};

} // namespace plantainpitch
