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

/// VMs connected to an entry, and the times since which other VMs are disconnected.
class vm_table
{
public:
    void update(const vm_info &info, const resources &reserved);
    void remove(instant now, const std::string &vm);
    /// Records VMs that hold claims and are not connected as disconnected from now on, unless they
    /// already are. Drops old records of VMs that hold no claims.
    void updateHolders(instant now, const std::set<std::string> &holders);

    /// Null if not connected.
    [[nodiscard]] const vm_info *find(const std::string &vm) const;
    [[nodiscard]] const std::vector<placement_vm> &placements() const { return m_placements; }
    /// Null if not connected.
    placement_vm *placement(const std::string &vm);
    [[nodiscard]] std::vector<std::string> lostVms(instant now, duration lostAfter) const;
    /// Returns why no connected VM has the capacity for the resources; empty if one has.
    [[nodiscard]] std::string unsatisfiableReason(const resources &required) const;
    /// Returns the rack of a VM that is or was connected; empty if it never was.
    [[nodiscard]] std::string rackOf(const std::string &vm) const;

private:
    struct disconnection
    {
        instant since;
        bool wasConnected = false;
    };

    std::map<std::string, vm_info> m_infos;
    std::vector<placement_vm> m_placements; ///< in the order of m_infos
    std::map<std::string, disconnection> m_disconnected;
    std::map<std::string, std::string> m_racks;
};

} // namespace plantainpitch
