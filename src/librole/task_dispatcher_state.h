#pragma once

#include "claim_index.h"
#include "proposal_table.h"
#include "record_requests.h"
#include "revocation_table.h"
#include "task_retries.h"
#include "vm_health.h"
#include "vm_table.h"

#include "plantainpitch/policy/batch_order.h"
#include "plantainpitch/policy/learned_interference.h"
#include "plantainpitch/policy/learned_size.h"
#include "plantainpitch/policy/placement_policy.h"
#include "plantainpitch/role/task_dispatcher.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch {

struct task_dispatcher::state
{
    state(task_dispatcher_options given, std::uint64_t seed);

    /// What a pass over the unplaced tasks of one job found.
    struct job_work
    {
        const job_state *job = nullptr;
        std::vector<task_id> ready;
    };

    void revokeLost(instant now, const cell_state &cell);
    void pass(instant now, const cell_state &cell, std::int64_t nowMs);
    void refreshEligibility(instant now);
    [[nodiscard]] std::vector<job_work> collect(instant now, const cell_state &cell);
    void collectJob(instant now, const cell_state &cell, job_work &work,
                    const std::vector<task_id> &tasks);
    /// True if the task may be proposed now.
    bool examine(instant now, const job_state &job, const task_id &task, const task_state &state);
    /// Places up to \a most tasks; returns how many.
    std::size_t place(instant now, const cell_state &cell, const job_work &work, std::size_t most);
    bool propose(instant now, const job_state &job, const task_id &task, const task_state &known);
    [[nodiscard]] std::size_t tasksInRack(const std::string &job, const std::string &rack) const;
    [[nodiscard]] bool responsible(const std::string &job) const;
    [[nodiscard]] duration waitAfterRevocation(const job_submitted &job) const;
    [[nodiscard]] std::string reasonOf(const job_state &job, const task_id &task,
                                       const task_state &known) const;
    /// Reason to fail the task for good; empty if there is none.
    [[nodiscard]] std::string verdictOn(const job_state &job, const task_id &task,
                                        const task_state &state) const;
    [[nodiscard]] bool mayQuarantineAnother() const;
    /// Counts what the fold changed; every entry counts every record of its cell that it reads.
    void countChange(const log_record &record);
    void onEndOfClaim(instant now, const claim_index::claim &claim, const task_id &task,
                      const log_record &record);
    void noteFailure(instant now, const claim_index::claim &claim, const task_id &task);
    void learnEviction(const std::string &vm, const std::string &templateName);
    void giveBack(const proposal_table::proposal &proposal);
    void count(std::string name, std::string label = {}, std::uint64_t amount = 1);

    task_dispatcher_options options;
    action_list actions;
    std::vector<std::string> entries;
    proposal_table proposals;
    record_requests records;
    revocation_table revocations;
    claim_index claims;
    vm_health health;
    task_retries retries;
    vm_table vms;
    team_usage_map teams;
    learned_size sizes;
    learned_interference interference;
    std::unique_ptr<batch_order> order;
    std::unique_ptr<placement_policy> placement;
    bool dirty = true;
    instant lastPass{ duration::min() / 2 };
    instant lastLostCheck{ duration::min() / 2 };
};

} // namespace plantainpitch
