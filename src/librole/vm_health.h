#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/task_id.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch {

/// Failures of tasks per VM. A VM on which tasks of different jobs fail without a success in
/// between is at fault itself: it is quarantined, and probed with one task at a time. Failures of a
/// template that fails on several VMs and succeeds on none speak against the template instead.
class vm_health
{
public:
    void onFailure(instant now, const std::string &vm, const std::string &templateName,
                   const task_id &task);
    void onSuccess(const std::string &vm, const std::string &templateName);
    /// True if the VM should be quarantined and is not.
    [[nodiscard]] bool isSuspect(const std::string &vm) const;
    /// Returns the tasks that failed on the VM since its last success, one entry per failure.
    std::vector<task_id> quarantine(instant now, const std::string &vm);
    [[nodiscard]] bool mayPropose(instant now, const std::string &vm) const;
    void onProposed(instant now, const std::string &vm);
    [[nodiscard]] bool inQuarantine(const std::string &vm) const;

private:
    struct record
    {
        std::vector<task_id> failed; ///< since the last success, the newest ones
        std::vector<task_id> evidence; ///< those of them that speak against the VM
        instant lastFailure;
        bool quarantined = false;
        duration probeInterval{};
        instant nextProbe;
    };

    std::map<std::string, record> m_records;
    /// VMs on which a template failed since its last success anywhere, up to the number that
    /// makes the template itself the likely fault.
    std::map<std::string, std::set<std::string>> m_failedVmsOf;
};

} // namespace plantainpitch
