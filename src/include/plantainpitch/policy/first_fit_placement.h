#pragma once

#include "plantainpitch/policy/placement_policy.h"

namespace plantainpitch {

/// Baseline: chooses the first eligible VM with enough free resources.
class first_fit_placement final : public placement_policy
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_request &request,
                                                    const std::vector<placement_vm> &vms,
                                                    const vm_filter &allowed,
                                                    const rack_task_count &tasksInRack) override;
};

} // namespace plantainpitch
