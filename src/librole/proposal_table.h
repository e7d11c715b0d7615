#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch {

/// Outstanding proposals, at most one per task, and recent refusals.
class proposal_table
{
public:
    struct proposal
    {
        std::string vm;
        log_position base;
        resources taskResources;
        instant sentAt;
    };

    void add(const task_id &task, proposal newProposal);
    [[nodiscard]] const proposal *find(const task_id &task) const;
    /// Removes the proposal, e.g. after the claim was read from the log.
    std::optional<proposal> remove(const task_id &task);
    /// Removes the proposal if it has this base, and records the refusal for the task and VM.
    std::optional<proposal> refuse(instant now, const task_id &task, log_position base,
                                   const std::string &reason);
    /// Removes and returns the proposals that were not answered within the timeout, and records
    /// them as refusals.
    std::vector<std::pair<task_id, proposal>> expire(instant now, duration timeout);
    std::vector<task_id> removeForVm(const std::string &vm);

    [[nodiscard]] bool wasRecentlyRefused(instant now, const task_id &task,
                                          const std::string &vm) const;
    [[nodiscard]] std::string lastRefusal(const task_id &task) const;
    [[nodiscard]] std::size_t outstandingOn(const std::string &vm) const;
    [[nodiscard]] resources reservedOn(const std::string &vm) const;

private:
    struct refusal
    {
        instant expiresAt;
        std::string reason;
    };

    void removeExpiredRefusals(instant now);

    std::map<task_id, proposal> m_proposals;
    std::map<std::string, std::map<task_id, resources>> m_byVm;
    std::map<std::pair<task_id, std::string>, refusal> m_refusals;
};

} // namespace plantainpitch
