#include "vm_table.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

// Gives agents time to connect to an entry that has just started.
constexpr duration neverConnectedLostAfter = std::chrono::seconds(10);

// Assumed number of slots of an endpoint, which vm_info does not contain.
constexpr double assumedEndpointSlots = 8;

resources clampToZero(const resources &amount)
{
    return { .processorsMilli = std::max<std::int64_t>(amount.processorsMilli, 0),
             .memoryBytes = std::max<std::int64_t>(amount.memoryBytes, 0),
             .accelerators = std::max<std::int64_t>(amount.accelerators, 0) };
}

} // namespace

void vm_table::update(const vm_info &info, const resources &reserved)
{
    m_infos[info.vm] = info;
    m_racks[info.vm] = info.rack;
    m_disconnected.erase(info.vm);
    placement_vm *placementVm = placement(info.vm);
    if (placementVm == nullptr) {
        const auto position = std::lower_bound(
                m_placements.begin(), m_placements.end(), info.vm,
                [](const placement_vm &entry, const std::string &name) { return entry.vm < name; });
        placementVm = &*m_placements.insert(position, placement_vm{ .vm = info.vm });
    }
    placementVm->rack = info.rack;
    placementVm->capacity = info.capacity;
    placementVm->available = clampToZero(info.available - reserved);
    placementVm->serviceTemplate = info.templateName;
    placementVm->serviceLoad = std::min(1.0, info.runningRequests / assumedEndpointSlots);
}

void vm_table::remove(instant now, const std::string &vm)
{
    if (m_infos.erase(vm) == 0)
        return;
    std::erase_if(m_placements, [&](const placement_vm &entry) { return entry.vm == vm; });
    m_disconnected[vm] = { .since = now, .wasConnected = true };
}

void vm_table::updateHolders(instant now, const std::set<std::string> &holders)
{
    std::erase_if(m_disconnected, [&](const auto &entry) {
        return !holders.contains(entry.first) && now > entry.second.since + neverConnectedLostAfter;
    });
    for (const std::string &vm : holders) {
        if (!m_infos.contains(vm))
            m_disconnected.try_emplace(vm, disconnection{ .since = now });
    }
}

const vm_info *vm_table::find(const std::string &vm) const
{
    const auto found = m_infos.find(vm);
    return found == m_infos.end() ? nullptr : &found->second;
}

placement_vm *vm_table::placement(const std::string &vm)
{
    const auto position = std::lower_bound(
            m_placements.begin(), m_placements.end(), vm,
            [](const placement_vm &entry, const std::string &name) { return entry.vm < name; });
    return position != m_placements.end() && position->vm == vm ? &*position : nullptr;
}

std::vector<std::string> vm_table::lostVms(instant now, duration lostAfter) const
{
    std::vector<std::string> lost;
    // An entry without any connected VM is more likely partitioned itself, and has no VM to which
    // it could move a task.
    if (m_infos.empty())
        return lost;
    for (const auto &[vm, disconnected] : m_disconnected) {
        if (now >= disconnected.since
                           + (disconnected.wasConnected
                                      ? lostAfter
                                      : std::max(lostAfter, neverConnectedLostAfter)))
            lost.push_back(vm);
    }
    return lost;
}

std::string vm_table::unsatisfiableReason(const resources &required) const
{
    if (m_infos.empty())
        return "no VM is connected";
    resources largest;
    for (const auto &[name, info] : m_infos) {
        if (required.fitsIn(info.capacity))
            return {};
        largest.processorsMilli = std::max(largest.processorsMilli, info.capacity.processorsMilli);
        largest.memoryBytes = std::max(largest.memoryBytes, info.capacity.memoryBytes);
        largest.accelerators = std::max(largest.accelerators, info.capacity.accelerators);
    }
    if (required.processorsMilli > largest.processorsMilli)
        return "no known worker has " + std::to_string(required.processorsMilli)
               + " thousandths of a processor";
    if (required.memoryBytes > largest.memoryBytes)
        return "no known worker has " + std::to_string(required.memoryBytes) + " bytes of memory";
    if (required.accelerators > largest.accelerators)
        return "no known worker has " + std::to_string(required.accelerators) + " accelerators";
    return "no known worker has the processors, memory and accelerators together";
}

std::string vm_table::rackOf(const std::string &vm) const
{
    const auto found = m_racks.find(vm);
    return found == m_racks.end() ? std::string() : found->second;
}

} // namespace plantainpitch
