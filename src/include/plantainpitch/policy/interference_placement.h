#pragma once

#include "plantainpitch/model/weighting.h"
#include "plantainpitch/policy/interference_model.h"
#include "plantainpitch/policy/placement_policy.h"

namespace plantainpitch {

/// Compares a limited number of VMs and chooses the one with the lowest expected interference, plus
/// a penalty for each task of the same job in the rack.
class interference_placement final : public placement_policy
{
public:
    /// \a model must outlive this object.
    interference_placement(const interference_model &model, weighting goal)
        : m_model(model)
        , m_goal(goal)
    {}

    [[nodiscard]] std::optional<std::size_t> choose(const placement_request &request,
                                                    const std::vector<placement_vm> &vms,
                                                    const vm_filter &allowed,
                                                    const rack_task_count &tasksInRack) override;

private:
    [[nodiscard]] double interferenceCost(const placement_request &request,
                                          const placement_vm &vm) const;

    const interference_model &m_model;
    weighting m_goal;
    std::size_t m_searchStart = 0; ///< index at which the next search starts
};

} // namespace plantainpitch
