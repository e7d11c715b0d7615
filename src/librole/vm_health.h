#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/task_id.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch {

/// Tracks task failures per VM. A VM on which tasks of different jobs fail without a success in
/// between is considered faulty: it is quarantined, and probed with one task at a time. Failures of
/// a template that fails on several VMs and succeeds on none are attributed to the template
/// instead.
class vm_health
{
public:
    void onFailure(instant now, const std::string &vm, const std::string &templateName,
                   const task_id &task);
    void onSuccess(const std::string &vm, const std::string &templateName);
    /// Returns true if the VM should be quarantined and is not yet.
    [[nodiscard]] bool shouldQuarantine(const std::string &vm) const;
    /// Quarantines the VM. Returns the tasks that failed on it since its last success, one element
    /// per failure.
    std::vector<task_id> quarantine(instant now, const std::string &vm);
    [[nodiscard]] bool mayPropose(instant now, const std::string &vm) const;
    void onProposed(instant now, const std::string &vm);
    [[nodiscard]] bool inQuarantine(const std::string &vm) const;

private:
    struct failure_history
    {
        std::vector<task_id> failedTasks; ///< most recent failures since the last success
        std::vector<task_id> attributedFailures; ///< failures attributed to the VM
        instant lastFailure;
        bool quarantined = false;
        duration probeInterval{};
        instant nextProbe;
    };

    std::map<std::string, failure_history> m_histories;
    /// VMs on which a template failed since its last success on any VM, up to the number at which
    /// the template is considered faulty.
    std::map<std::string, std::set<std::string>> m_failedVmsByTemplate;
};

} // namespace plantainpitch
