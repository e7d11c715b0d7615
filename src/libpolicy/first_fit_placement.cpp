#include "plantainpitch/policy/first_fit_placement.h"

namespace plantainpitch {

std::optional<std::size_t> first_fit_placement::choose(const placement_request &request,
                                                       const std::vector<placement_vm> &vms,
                                                       const vm_filter &allowed,
                                                       const rack_task_count &tasksInRack)
{
    (void)tasksInRack;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (vms[i].eligible && request.needed.fitsIn(vms[i].available) && allowed(vms[i]))
            return i;
    }
    return std::nullopt;
}

} // namespace plantainpitch
