#pragma once

#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/policy/team_usage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace plantainpitch {

/// Index of the claims of a cell by VM, team and job, updated for each folded record.
class claim_index
{
public:
    struct claim
    {
        std::string vm;
        std::string templateName;
        std::string team;
        instant readAt; ///< when this process read the claim
        bool readFromRecord = false; ///< the claim was read as a record, not from a snapshot
    };

    /// Updates the claim of a task from the cell; returns the previous claim.
    std::optional<claim> update(instant now, const cell_state &cell, const task_id &task,
                                bool fromRecord);
    void rebuild(instant now, const cell_state &cell);

    [[nodiscard]] std::uint32_t runningTasksOf(const std::string &team) const;
    [[nodiscard]] const std::map<std::string, std::uint32_t> &
    templateCountsOn(const std::string &vm) const;
    /// Returns the VMs that hold claims.
    [[nodiscard]] std::set<std::string> holders() const;
    [[nodiscard]] const std::map<std::string, std::uint32_t> &
    taskCountsByVm(const std::string &job) const;

private:
    void updateCounts(const task_id &task, const claim &taskClaim, bool add);

    std::unordered_map<task_id, claim> m_claims;
    std::map<std::string, std::map<std::string, std::uint32_t>> m_templatesByVm;
    std::map<std::string, std::uint32_t> m_runningByTeam;
    std::map<std::string, std::map<std::string, std::uint32_t>> m_vmsByJob;
};

} // namespace plantainpitch
