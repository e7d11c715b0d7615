#include "vm_table.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

// Agents need a moment to connect to an entry that has just started.
constexpr duration neverSeenLostAfter = std::chrono::seconds(10);

// Slots of an endpoint; a vm_info does not tell them.
constexpr double usualSlots = 8;

resources atLeastZero(const resources &amount)
{
    return { .processorsMilli = std::max<std::int64_t>(amount.processorsMilli, 0),
             .memoryBytes = std::max<std::int64_t>(amount.memoryBytes, 0),
             .accelerators = std::max<std::int64_t>(amount.accelerators, 0) };
}

} // namespace

void vm_table::update(const vm_info &info, const resources &promised)
{
    m_infos[info.vm] = info;
    m_racks[info.vm] = info.rack;
    m_gone.erase(info.vm);
    placement_vm *known = placement(info.vm);
    if (known == nullptr) {
        const auto place = std::lower_bound(
                m_placements.begin(), m_placements.end(), info.vm,
                [](const placement_vm &entry, const std::string &name) { return entry.vm < name; });
        known = &*m_placements.insert(place, placement_vm{ .vm = info.vm });
    }
    known->rack = info.rack;
    known->capacity = info.capacity;
    known->available = atLeastZero(info.available - promised);
    known->serviceTemplate = info.templateName;
    known->serviceLoad = std::min(1.0, info.runningRequests / usualSlots);
}

void vm_table::remove(instant now, const std::string &vm)
{
    if (m_infos.erase(vm) == 0)
        return;
    std::erase_if(m_placements, [&](const placement_vm &entry) { return entry.vm == vm; });
    m_gone[vm] = { .since = now, .everSeen = true };
}

void vm_table::noteHolders(instant now, const std::set<std::string> &holders)
{
    std::erase_if(m_gone, [&](const auto &entry) {
        return !holders.contains(entry.first) && now > entry.second.since + neverSeenLostAfter;
    });
    for (const std::string &vm : holders) {
        if (!m_infos.contains(vm))
            m_gone.try_emplace(vm, absence{ .since = now });
    }
}

const vm_info *vm_table::find(const std::string &vm) const
{
    const auto found = m_infos.find(vm);
    return found == m_infos.end() ? nullptr : &found->second;
}

placement_vm *vm_table::placement(const std::string &vm)
{
    const auto place = std::lower_bound(
            m_placements.begin(), m_placements.end(), vm,
            [](const placement_vm &entry, const std::string &name) { return entry.vm < name; });
    return place != m_placements.end() && place->vm == vm ? &*place : nullptr;
}

std::vector<std::string> vm_table::lostVms(instant now, duration lostAfter) const
{
    std::vector<std::string> lost;
    // An entry without any agent is more likely cut off itself, and has nowhere to move a task.
    if (m_infos.empty())
        return lost;
    for (const auto &[vm, gone] : m_gone) {
        if (now
            >= gone.since + (gone.everSeen ? lostAfter : std::max(lostAfter, neverSeenLostAfter)))
            lost.push_back(vm);
    }
    return lost;
}

std::string vm_table::whyNever(const resources &amount) const
{
    if (m_infos.empty())
        return "no VM is connected";
    resources largest;
    for (const auto &[name, info] : m_infos) {
        if (amount.fitsIn(info.capacity))
            return {};
        largest.processorsMilli = std::max(largest.processorsMilli, info.capacity.processorsMilli);
        largest.memoryBytes = std::max(largest.memoryBytes, info.capacity.memoryBytes);
        largest.accelerators = std::max(largest.accelerators, info.capacity.accelerators);
    }
    if (amount.processorsMilli > largest.processorsMilli)
        return "no known worker has " + std::to_string(amount.processorsMilli)
               + " thousandths of a processor";
    if (amount.memoryBytes > largest.memoryBytes)
        return "no known worker has " + std::to_string(amount.memoryBytes) + " bytes of memory";
    if (amount.accelerators > largest.accelerators)
        return "no known worker has " + std::to_string(amount.accelerators) + " accelerators";
    return "no known worker has the processors, memory and accelerators together";
}

std::string vm_table::rackOf(const std::string &vm) const
{
    const auto found = m_racks.find(vm);
    return found == m_racks.end() ? std::string() : found->second;
}

} // namespace plantainpitch
