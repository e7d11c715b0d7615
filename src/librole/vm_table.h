#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/policy/placement_vm.h"
#include "plantainpitch/role/vm_info.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch {

/// The VMs that an entry is connected to, and since when others are gone.
class vm_table
{
public:
    void update(const vm_info &info, const resources &promised);
    void remove(instant now, const std::string &vm);
    /// Holders of claims that are not connected count as gone from now on, if not before.
    void noteHolders(instant now, const std::set<std::string> &holders);

    /// Null if not connected.
    [[nodiscard]] const vm_info *find(const std::string &vm) const;
    [[nodiscard]] const std::vector<placement_vm> &placements() const { return m_placements; }
    /// Null if not connected.
    placement_vm *placement(const std::string &vm);
    [[nodiscard]] std::vector<std::string> lostVms(instant now, duration lostAfter) const;
    /// Empty if the amount fits into an empty VM; otherwise why not.
    [[nodiscard]] std::string whyNever(const resources &amount) const;
    /// Rack of a VM, also of one that is gone; empty if never seen.
    [[nodiscard]] std::string rackOf(const std::string &vm) const;

private:
    struct absence
    {
        instant since;
        bool everSeen = false;
    };

    std::map<std::string, vm_info> m_infos;
    std::vector<placement_vm> m_placements; ///< in the order of m_infos
    std::map<std::string, absence> m_gone;
    std::map<std::string, std::string> m_racks;
};

} // namespace plantainpitch
