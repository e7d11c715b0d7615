#include "plantainpitch/policy/interference_placement.h"

#include <algorithm>

namespace plantainpitch {

namespace {

// Limits the VMs compared for one task, since more would use up a scheduling tick in a large cell.
constexpr std::size_t maxComparedVms = 64;
// Cost of each task of the same job in the rack, as a share of the latency target.
constexpr double rackPenalty = 0.02;

} // namespace

double interference_placement::interferenceCost(const placement_request &request,
                                                const placement_vm &vm) const
{
    if (vm.serviceTemplate.empty())
        return 0;
    auto batch = vm.batchTemplates;
    const double before = m_model.addedLatencyRatio(vm.serviceTemplate, vm.serviceLoad, batch);
    ++batch[request.templateName];
    const double after = m_model.addedLatencyRatio(vm.serviceTemplate, vm.serviceLoad, batch);
    const double headroom =
            std::max(latencyGoal(m_goal)
                             - m_model.latencyRatioWithoutBatch(vm.serviceTemplate, vm.serviceLoad),
                     0.05);
    // Batch share that keeps the latency within the headroom. The cost is the share that the new
    // task takes from the tasks already there.
    const auto shareAt = [&](double added) { return added <= headroom ? 1.0 : headroom / added; };
    double tasks = 0;
    for (const auto &[name, count] : batch)
        tasks += count;
    const double gain = tasks * shareAt(after) - (tasks - 1) * shareAt(before);
    return 1 - gain + 0.1 * (after - before);
}

std::optional<std::size_t> interference_placement::choose(const placement_request &request,
                                                          const std::vector<placement_vm> &vms,
                                                          const vm_filter &allowed,
                                                          const rack_task_count &tasksInRack)
{
    std::optional<std::size_t> best;
    double lowestCost = 0;
    std::size_t compared = 0;
    for (std::size_t i = 0; i < vms.size() && compared < maxComparedVms; ++i) {
        const std::size_t index = (m_searchStart + i) % vms.size();
        const placement_vm &vm = vms[index];
        if (!vm.eligible || !request.needed.fitsIn(vm.available) || !allowed(vm))
            continue;
        ++compared;
        const double cost = interferenceCost(request, vm)
                            + rackPenalty * static_cast<double>(tasksInRack(vm.rack));
        if (!best || cost < lowestCost) {
            best = index;
            lowestCost = cost;
        }
    }
    m_searchStart = vms.empty() ? 0 : (m_searchStart + 1) % vms.size();
    return best;
}

} // namespace plantainpitch
