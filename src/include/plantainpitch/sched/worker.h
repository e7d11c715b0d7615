#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/progress_monitor.h"
#include "plantainpitch/sched/resources.h"
#include "plantainpitch/sched/worker_key.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Resources of a worker that a run holds until its end is confirmed.
struct allocation
{
    std::uint32_t run = 0;
    resources reserved;
    std::int64_t fillingCpu = 0; ///< left-over processors that it would use, thousandths of a core
    bool serves = false; ///< has a latency target
    bool longRunning = false; ///< ends only if it fails or is stopped
    std::string image;
    bool trial = false; ///< nothing else may start beside it; see task::needsTrial()
    bool stopOrdered = false;
    bool described = false; ///< the agent's present connection has had its description
    /// Number of the orders that carry the start; 0: they have been delivered or lost by now.
    /// A report that covers these orders and lacks the run leads to a stop order.
    std::uint64_t orderNumber = 0;
};

/// Headroom of one job's serving tasks on a worker at its last report.
struct serving_headroom
{
    std::string job;
    std::string image;
    double headroom = 0; ///< latency target / latency

    bool operator==(const serving_headroom &) const = default;
};

/// A filling run that was ordered recently.
struct recent_filling
{
    std::string image;
    std::int64_t cpu = 0; ///< thousandths of a core
    instant orderedAt{};

    bool operator==(const recent_filling &) const = default;
};

/// A job of which a task has failed on a worker.
struct job_failure
{
    std::string job;
    instant at{}; ///< of the last failure

    bool operator==(const job_failure &) const = default;
};

/// State of one incarnation of a worker, as the owner knows it.
struct worker
{
    worker_key key;
    std::string agent; ///< node name of the agent beside it; empty: not known yet
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    instant capacitySince{}; ///< the owner has known this capacity since then
    resources used;
    resources usedByLongRunning; ///< part of used
    // Kept free for overdue long-running tasks; set in each scheduling pass.
    resources held; ///< from all other tasks
    resources heldFromBatch; ///< from tasks that are not overdue, see placement_terms
    /// Only this job's tasks and overdue long-running ones may start here, see placement_terms.
    std::string keptForJob;
    std::uint32_t trials = 0; ///< trial runs; while there is one, nothing else starts
    instant lastStart{}; ///< when the last run was ordered
    instant lastReport{}; ///< last one with the runs of this incarnation
    std::int64_t fillingCpu = 0; ///< demand of runs that use left-over processors
    std::uint32_t servingRuns = 0; ///< runs that have a latency target
    std::int64_t servingCpu = 0; ///< what they reserve
    std::map<std::string, std::uint32_t> servingImages; ///< runs by image
    std::vector<serving_headroom> headrooms; ///< at the last report
    std::vector<recent_filling> recentFilling; ///< not yet reflected in the headrooms
    bool ready = false; ///< not draining
    bool responsive = false;
    bool connected = false; ///< the agent is connected and its runs are known
    bool evacuated = false; ///< in an evacuated data centre, as far as the owner or the agent knows
    /// It has answered a call of this owner, so that no earlier owner can extend its leases.
    bool fenced = false;
    /// The last instant at which a lease of this incarnation may be valid.
    instant leasedUntil{};
    std::map<std::string, allocation> runs; ///< by task name

    progress_monitor progress; ///< of its batch runs
    std::int64_t lastListedUs = 0; ///< agent's clock at the last listing that was reported

    // Failures seen on this worker; see worker_health.
    std::vector<job_failure> failedJobs;
    instant excludedUntil{};
    std::uint32_t exclusions = 0;
    // The last exclusion for failures; zero if a run ended it.
    instant failureExclusionStart{};
    instant failureExclusionEnd{};
    instant lastFailure{};

    // For log lines about exclusions.
    std::string exclusionReason; ///< of the last exclusion; one of a small set
    std::string exclusionCause; ///< jobs or tasks, separated by commas
    std::string loggedExclusion; ///< reason in the log of a present exclusion; empty: none
    instant excludedSince{}; ///< valid if loggedExclusion is set

    /// Whether tasks may be started on it at all.
    [[nodiscard]] bool isUsable() const { return connected && ready && responsive && !evacuated; }
    [[nodiscard]] resources freeResources() const { return capacity - used; }
    /// Whether the resources fit beside the runs and what is held from the task; see
    /// placement_terms::mayUseHeldFromBatch(). A worker whose capacity has shrunk may have less
    /// than nothing left of a resource that the task does not need.
    [[nodiscard]] bool hasRoomFor(const resources &needed, bool mayUseHeldFromBatch = false) const
    {
        const resources kept = mayUseHeldFromBatch ? held : held + heldFromBatch;
        return needed.fitsWhereNeeded(freeResources() - kept);
    }
    /// What is missing beside the runs and what is held from all tasks, as the largest share of the
    /// worker's capacity; negative if there is room.
    [[nodiscard]] double shortage(const resources &needed) const;
    /// Processors that neither reservations nor filling runs are expected to use, thousandths of a
    /// core. Serving tasks reserve for their peak.
    [[nodiscard]] std::int64_t leftOverCpu() const;

    /// Reserves resources for a run; replaces an earlier run of the same task.
    void reserve(const std::string &name, const allocation &allocation);
    /// Frees the resources of that run; returns false if it holds none.
    bool release(const std::string &name, std::uint32_t run);
    /// Lets other tasks start beside the run, which has proved to be harmless.
    void endTrial(const std::string &name);
};

} // namespace plantainpitch::sched
