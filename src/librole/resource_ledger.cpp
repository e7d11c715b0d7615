#include "plantainpitch/role/resource_ledger.h"

#include "plantainpitch/model/invariant_violation.h"

#include <algorithm>

namespace plantainpitch {

namespace {

resources componentwiseMax(const resources &a, const resources &b)
{
    return { .processorsMilli = std::max(a.processorsMilli, b.processorsMilli),
             .memoryBytes = std::max(a.memoryBytes, b.memoryBytes),
             .accelerators = std::max(a.accelerators, b.accelerators) };
}

std::string format(const resources &amount)
{
    return std::to_string(amount.processorsMilli) + "m/" + std::to_string(amount.memoryBytes) + "B/"
           + std::to_string(amount.accelerators);
}

} // namespace

void resource_ledger::setCapacity(const resources &capacity)
{
    m_capacity = capacity;
}

bool resource_ledger::reserve(const task_id &task, const resources &amount)
{
    const auto known = m_charges.find(task);
    if (known != m_charges.end() && known->second.holdsReservation)
        return false;
    if (!componentwiseMax(amount, {}).fitsIn(available()) || !resources{}.fitsIn(amount))
        return false;
    charge &entry = m_charges[task];
    entry.reserved = amount;
    entry.holdsReservation = true;
    m_capacityAtReserve = m_capacity;
    check();
    return true;
}

void resource_ledger::release(const task_id &task)
{
    const auto known = m_charges.find(task);
    if (known == m_charges.end())
        return;
    known->second.reserved = {};
    known->second.holdsReservation = false;
    if (known->second.observed == resources{})
        m_charges.erase(known);
}

void resource_ledger::observe(const task_id &task, const resources &amount)
{
    m_charges[task].observed = amount;
}

void resource_ledger::forgetAllObserved()
{
    for (auto &[task, entry] : m_charges)
        entry.observed = {};
    std::erase_if(m_charges, [](const auto &item) { return !item.second.holdsReservation; });
}

resources resource_ledger::used() const
{
    resources sum;
    for (const auto &[task, entry] : m_charges)
        sum = sum + componentwiseMax(entry.reserved, entry.observed);
    return sum;
}

resources resource_ledger::available() const
{
    return componentwiseMax(m_capacity - m_withheld - used(), {});
}

void resource_ledger::check() const
{
    resources sum = m_withheld;
    for (const auto &[task, entry] : m_charges)
        sum = sum + entry.reserved;
    if (!sum.fitsIn(m_capacityAtReserve) && !m_charges.empty())
        throw invariant_violation(1, "reservations exceed the capacity of the VM", describe());
}

std::string resource_ledger::describe() const
{
    std::string text = "capacity=" + format(m_capacity) + " withheld=" + format(m_withheld);
    for (const auto &[task, entry] : m_charges) {
        text += ' ' + task.toString() + '=' + format(entry.reserved);
        if (entry.observed != resources{})
            text += " observed=" + format(entry.observed);
    }
    return text;
}

} // namespace plantainpitch
