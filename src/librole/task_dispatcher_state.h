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
    state(task_dispatcher_options initialOptions, std::uint64_t seed);

    /// A job with the tasks that can be proposed now.
    struct ready_job
    {
        const job_state *job = nullptr;
        std::vector<task_id> readyTasks;
    };

    void revokeClaimsOfLostVms(instant now, const cell_state &cell);
    void runPlacementPass(instant now, const cell_state &cell, std::int64_t nowMs);
    void refreshEligibility(instant now);
    [[nodiscard]] std::vector<ready_job> collectReadyJobs(instant now, const cell_state &cell);
    void collectReadyTasks(instant now, const cell_state &cell, ready_job &readyJob,
                           const std::vector<task_id> &tasks);
    /// Returns true if the task can be proposed now. Submits a task_failed record if the task has
    /// failed permanently.
    bool checkReady(instant now, const job_state &job, const task_id &task,
                    const task_state &taskState);
    /// Proposes up to \a maxTasks tasks; returns the number of proposals.
    std::size_t placeTasks(instant now, const cell_state &cell, const ready_job &readyJob,
                           std::size_t maxTasks);
    bool propose(instant now, const job_state &job, const task_id &task,
                 const task_state &taskState);
    [[nodiscard]] std::size_t tasksInRack(const std::string &job, const std::string &rack) const;
    [[nodiscard]] bool isResponsibleFor(const std::string &job) const;
    [[nodiscard]] duration revocationWaitOf(const job_submitted &job) const;
    [[nodiscard]] std::string explainPhase(const job_state &job, const task_id &task,
                                           const task_state &taskState) const;
    /// Returns why the task has failed permanently; empty if it has not.
    [[nodiscard]] std::string permanentFailureReason(const job_state &job, const task_id &task,
                                                     const task_state &taskState) const;
    [[nodiscard]] bool mayQuarantineAnother() const;
    /// Updates the metrics for a record that changed a task. Each entry counts all records of its
    /// cell that it reads.
    void countTaskRecord(const log_record &record);
    void onClaimEnded(instant now, const claim_index::claim &claim, const task_id &task,
                      const log_record &record);
    void onTaskFailure(instant now, const claim_index::claim &claim, const task_id &task);
    void observeEviction(const std::string &vm, const std::string &templateName);
    void releaseResources(const proposal_table::proposal &proposal);
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
    bool passNeeded = true;
    instant lastPass{ duration::min() / 2 };
    instant lastLostVmCheck{ duration::min() / 2 };
};

} // namespace plantainpitch
