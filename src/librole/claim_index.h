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

/// The claims of a cell by VM, team and job, kept from the folded records.
class claim_index
{
public:
    struct claim
    {
        std::string vm;
        std::string templateName;
        std::string team;
        instant readAt; ///< when this process read the claim
        bool sinceClaim = false; ///< readAt is the reading of the claim itself, not of a snapshot
    };

    /// Brings the entry of a task up to date with the cell; returns what it was before.
    std::optional<claim> update(instant now, const cell_state &cell, const task_id &task,
                                bool fromRecord);
    void rebuild(instant now, const cell_state &cell);

    [[nodiscard]] std::uint32_t runningOf(const std::string &team) const;
    [[nodiscard]] const std::map<std::string, std::uint32_t> &
    templatesOn(const std::string &vm) const;
    /// VMs that hold claims.
    [[nodiscard]] std::set<std::string> holders() const;
    [[nodiscard]] const std::map<std::string, std::uint32_t> &vmsOf(const std::string &job) const;

private:
    void count(const task_id &task, const claim &entry, bool add);

    std::unordered_map<task_id, claim> m_claims;
    std::map<std::string, std::map<std::string, std::uint32_t>> m_templatesByVm;
    std::map<std::string, std::uint32_t> m_runningByTeam;
    std::map<std::string, std::map<std::string, std::uint32_t>> m_vmsByJob;
};

} // namespace plantainpitch
