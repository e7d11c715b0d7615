#include "plantainpitch/policy/interference_placement.h"

#include <algorithm>

namespace plantainpitch {

namespace {

// VMs with room that are compared for one task; more would cost a tick of a large cell.
constexpr std::size_t maxCompared = 64;
// Weight of another task of the job in the rack, in shares of the latency target.
constexpr double rackPenalty = 0.02;

} // namespace

double interference_placement::costOf(const placement_request &request,
                                      const placement_vm &vm) const
{
    if (vm.serviceTemplate.empty())
        return 0;
    auto batch = vm.batchTemplates;
    const double before = m_model.added(vm.serviceTemplate, vm.serviceLoad, batch);
    ++batch[request.templateName];
    const double after = m_model.added(vm.serviceTemplate, vm.serviceLoad, batch);
    const double room =
            std::max(latencyGoal(m_goal) - m_model.alone(vm.serviceTemplate, vm.serviceLoad), 0.05);
    // Processors that batch work gets within the room, before and after: the task costs what it
    // takes from the others.
    const auto shareAt = [&](double added) { return added <= room ? 1.0 : room / added; };
    double tasks = 0;
    for (const auto &[name, count] : batch)
        tasks += count;
    const double gain = tasks * shareAt(after) - (tasks - 1) * shareAt(before);
    return 1 - gain + 0.1 * (after - before);
}

std::optional<std::size_t> interference_placement::choose(const placement_request &request,
                                                          const std::vector<placement_vm> &vms,
                                                          const vm_filter &allowed,
                                                          const rack_count &inRack)
{
    std::optional<std::size_t> best;
    double lowest = 0;
    std::size_t compared = 0;
    for (std::size_t i = 0; i < vms.size() && compared < maxCompared; ++i) {
        const std::size_t index = (m_next + i) % vms.size();
        const placement_vm &vm = vms[index];
        if (!vm.eligible || !request.needed.fitsIn(vm.available) || !allowed(vm))
            continue;
        ++compared;
        const double cost =
                costOf(request, vm) + rackPenalty * static_cast<double>(inRack(vm.rack));
        if (!best || cost < lowest) {
            best = index;
            lowest = cost;
        }
    }
    m_next = vms.empty() ? 0 : (m_next + 1) % vms.size();
    return best;
}

} // namespace plantainpitch
