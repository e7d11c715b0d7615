#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/message/authority_grant.h"
#include "plantainpitch/role/message/record_settled.h"
#include "plantainpitch/role/message/task_proposal.h"
#include "plantainpitch/role/worker/worker_answer.h"

#include <cstdint>
#include <memory>
#include <string>

namespace plantainpitch {

struct task_holder_options
{
    std::string vm;
    std::uint64_t agent = 0; ///< incarnation of this process
    resources reservedForService; ///< withheld from batch tasks
    duration authorityInterval = std::chrono::seconds(2);
    duration listInterval = std::chrono::seconds(1);
    duration callTimeout = std::chrono::seconds(2);
    /// Upper bound on the relative rate difference between two clocks.
    double clockDriftRatio = 0.02;
    duration revocationMargin = std::chrono::milliseconds(500);
    /// Fractions of the authority term without confirmation after which a task is checkpointed and
    /// stopped.
    double checkpointAtRatio = 0.70;
    double stopAtRatio = 0.85;
    /// Longest authority term of any template. Used for claims of an earlier agent process whose
    /// term is unknown: calls of that process may reach the worker until this term plus the
    /// margin has passed.
    duration longestTerm = std::chrono::seconds(60);
};

/// Claims, starts, renews and releases the tasks of one VM. It is the only component that
/// allocates the VM's resources to tasks. Not thread-safe.
class task_holder
{
public:
    task_holder(task_holder_options options, std::uint64_t seed);
    ~task_holder();

    /// Sets the connection to the entry through which this agent reaches the log (0: none).
    /// Unsettled records are resubmitted through the new connection; the folds ignore duplicates.
    void onGateway(instant now, connection_id gateway);

    void onProposal(instant now, connection_id from, const task_proposal &proposal);
    void onRecordSettled(instant now, const record_settled &settled);
    void onAuthorityGrant(instant now, const authority_grant &grant);
    void onWorkerAnswer(instant now, const worker_answer &answer);
    /// Evicts a task: checkpoint, stop, release. Unknown tasks are ignored.
    void evict(instant now, const task_id &task);
    void throttle(instant now, std::uint32_t percent);
    void tick(instant now);

    /// Checkpoints, stops and releases all tasks and refuses new proposals.
    void drain(instant now);
    /// True once drain() was called and no task is left.
    [[nodiscard]] bool drained() const;

    [[nodiscard]] resources capacity() const;
    /// Capacity minus the reservations of the service and of tasks that are running, starting or
    /// possibly running. Empty while draining.
    [[nodiscard]] resources available() const;
    [[nodiscard]] std::string workerBoot() const;
    [[nodiscard]] std::string rack() const;
    [[nodiscard]] std::size_t taskCount() const;

    /// Returns and clears the pending actions: send_message to the gateway or a proposer,
    /// worker_call, count_metric, write_log.
    action_list takeActions();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch
