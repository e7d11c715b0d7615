#pragma once

#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"

#include <map>
#include <string>

namespace plantainpitch {

/// Counts the capacity of one VM and what is reserved of it. Not thread-safe.
class resource_ledger
{
public:
    /// \a withheld is never given to tasks.
    explicit resource_ledger(resources withheld = {})
        : m_withheld(withheld)
    {}

    /// May be less than what is reserved, e.g. after a worker came back smaller; reserve() then
    /// refuses until enough was released.
    void setCapacity(const resources &capacity);

    /// Reserves for a task that holds no reservation. False if there is no room.
    /// Throws invariant_violation if the sum of all reservations would exceed the capacity.
    [[nodiscard]] bool reserve(const task_id &task, const resources &amount);
    void release(const task_id &task);

    /// Throws invariant_violation if the reservations exceed the capacity in force at the last
    /// reservation.
    void check() const;

    /// Charges what the worker says a task has, over the reservation or without one. Not checked
    /// against the capacity, because the task already runs.
    void observe(const task_id &task, const resources &amount);
    void forgetAllObserved();

    [[nodiscard]] resources capacity() const { return m_capacity; }
    [[nodiscard]] resources used() const;
    /// Capacity less withheld and used; no component is below zero.
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
