#pragma once

#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/weighting.h"
#include "plantainpitch/policy/batch_order.h"
#include "plantainpitch/policy/placement_policy.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/message/proposal_refused.h"
#include "plantainpitch/role/record_outcome.h"
#include "plantainpitch/role/vm_info.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainpitch {

struct task_dispatcher_options
{
    std::string entry; ///< name of this entry, used in rendezvous hashing
    std::string dataCentre;
    /// The claims of a VM are revoked after it has been unreachable for this long.
    duration vmLostAfter = std::chrono::seconds(3);
    duration proposalTimeout = std::chrono::seconds(2);
    double clockDriftRatio = 0.02;
    duration revocationMargin = std::chrono::milliseconds(500);
    weighting goal = weighting::tail_latency;
};

/// Proposes unplaced tasks to agents and revokes the claims of lost VMs. Correctness does not
/// depend on a single active dispatcher: concurrent dispatchers are safe. Not thread-safe.
class task_dispatcher
{
public:
    task_dispatcher(task_dispatcher_options options, std::uint64_t seed);
    ~task_dispatcher();

    /// Replaces the default policies slack_order and interference_placement; neither may be null.
    void setPolicies(std::unique_ptr<batch_order> order,
                     std::unique_ptr<placement_policy> placement);
    /// Sets the maximum number of running tasks per team; unlisted teams have no quota.
    void setTeamQuotas(const std::map<std::string, std::uint32_t> &quotas);

    /// Sets the names of the live entries of the cell, including this one.
    void onEntriesChanged(std::vector<std::string> names);
    void onVmUpdated(instant now, const vm_info &vm);
    void onVmUnreachable(instant now, const std::string &vm);
    void onProposalRefused(instant now, connection_id from, const proposal_refused &refusal);
    /// Called for each record after it was folded into \a cell.
    void onFolded(instant now, const cell_state &cell, const log_record &record,
                  const fold_result &result);
    /// Called after \a cell was loaded from a snapshot.
    void onReset(instant now, const cell_state &cell);
    void onRecordOutcome(instant now, const record_outcome &outcome);
    void tick(instant now, const cell_state &cell, std::int64_t nowMs);

    /// Returns the task's phase and the reason for it as a JSON object.
    [[nodiscard]] std::string explainTask(const cell_state &cell, const task_id &task) const;

    /// Returns and clears the pending actions: send_message(task_proposal), submit_record,
    /// count_metric and write_log.
    action_list takeActions();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch
