#pragma once

#include "plantainpitch/policy/placement_request.h"
#include "plantainpitch/policy/placement_vm.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch {

/// Chooses a VM for a task. Not thread-safe.
class placement_policy
{
public:
    /// Returns false for VMs on which this task must not be placed.
    using vm_filter = std::function<bool(const placement_vm &)>;
    /// Returns the number of tasks of the request's job that run in a rack.
    using rack_task_count = std::function<std::size_t(const std::string &rack)>;

    placement_policy() = default;
    placement_policy(const placement_policy &) = delete;
    placement_policy &operator=(const placement_policy &) = delete;
    virtual ~placement_policy() = default;

    /// Index of an eligible VM with enough free resources, or std::nullopt.
    [[nodiscard]] virtual std::optional<std::size_t> choose(const placement_request &request,
                                                            const std::vector<placement_vm> &vms,
                                                            const vm_filter &allowed,
                                                            const rack_task_count &tasksInRack) = 0;
};

} // namespace plantainpitch
