#include "task_dispatcher_state.h"

#include "lease_calculator.h"

#include "plantainpitch/policy/interference_placement.h"
#include "plantainpitch/policy/slack_order.h"
#include "plantainpitch/role/rendezvous_hash.h"

#include <algorithm>
#include <limits>

namespace plantainpitch {

namespace {

// Limits the work of one tick; the remaining tasks are proposed at the next tick, 50 ms later.
constexpr std::size_t maxProposalsPerPass = 500;

// Tasks of a job differ only in the VMs that refused them, so if a few of them cannot be placed the
// others are unlikely to be.
constexpr std::size_t maxFailedPlacementsPerJob = 4;

// Failures on quarantined VMs do not count against a task. This limit on all failures ends a task
// that itself causes the failures.
constexpr std::uint32_t maxTotalFailuresFactor = 4;

// A reboot says less than a failure, as other tasks on the worker may have caused it.
constexpr std::uint32_t maxEarlyRebootsFactor = 2;

// Latency relative to the target that is assumed for an eviction.
constexpr double evictedLatencyRatio = 1.1;

} // namespace

task_dispatcher::state::state(task_dispatcher_options initialOptions, std::uint64_t seed)
    : options(std::move(initialOptions))
    , entries({ options.entry })
    , records(actions)
    , order(std::make_unique<slack_order>(sizes))
    , placement(std::make_unique<interference_placement>(interference, options.goal))
{
    (void)seed;
}

bool task_dispatcher::state::isResponsibleFor(const std::string &job) const
{
    return rendezvousOwner(entries, job) == options.entry;
}

duration task_dispatcher::state::revocationWaitOf(const job_submitted &job) const
{
    return revocationWait(std::chrono::milliseconds(job.authorityTermMs), options.clockDriftRatio,
                          options.revocationMargin);
}

void task_dispatcher::state::revokeClaimsOfLostVms(instant now, const cell_state &cell)
{
    vms.updateHolders(now, claims.holders());
    for (const std::string &vm : vms.lostVms(now, options.vmLostAfter)) {
        for (const task_id &task : cell.tasksHeldBy(vm)) {
            const task_state *taskState = cell.findTask(task);
            if (taskState == nullptr || taskState->phase != task_phase::claimed
                || !isResponsibleFor(task.job))
                continue;
            if (records.submit(now, task,
                               task_revoked{ .task = task,
                                             .attempt = taskState->attempt,
                                             .reason = "VM " + vm + " is lost" }))
                count("revocations_total", "vm_lost");
        }
    }
}

void task_dispatcher::state::runPlacementPass(instant now, const cell_state &cell,
                                              std::int64_t nowMs)
{
    lastPass = now;
    passNeeded = false;
    count("placement_passes_total");
    refreshEligibility(now);
    const std::vector<ready_job> readyJobs = collectReadyJobs(now, cell);

    std::vector<batch_candidate> candidates;
    team_usage_map usage = teams;
    for (auto &[team, teamUsage] : usage)
        teamUsage.running = claims.runningTasksOf(team);
    for (const ready_job &readyJob : readyJobs) {
        const job_submitted &job = readyJob.job->description;
        candidates.push_back(
                { .job = job.job,
                  .templateName = job.templateName,
                  .team = job.team,
                  .taskPriority = job.taskPriority,
                  .submittedMs = job.submittedMs,
                  .deadlineMs = job.deadlineMs,
                  .expectedRunTimeMs = job.expectedRunTimeMs,
                  .waitingTasks = static_cast<std::uint32_t>(readyJob.readyTasks.size()) });
    }
    std::size_t remaining = maxProposalsPerPass;
    for (const batch_choice &choice : order->order(candidates, usage, nowMs)) {
        remaining -= placeTasks(now, cell, readyJobs[choice.candidate],
                                std::min<std::size_t>(choice.maxTasks, remaining));
        if (remaining == 0) {
            passNeeded = true;
            break;
        }
    }
}

void task_dispatcher::state::refreshEligibility(instant now)
{
    for (const placement_vm &placementVm : vms.placements()) {
        placement_vm *vm = vms.placement(placementVm.vm);
        const bool probing = health.inQuarantine(placementVm.vm);
        vm->eligible = !vms.find(placementVm.vm)->draining && health.mayPropose(now, placementVm.vm)
                       && !(probing && proposals.outstandingOn(placementVm.vm) > 0);
        vm->batchTemplates = claims.templateCountsOn(placementVm.vm);
    }
}

std::vector<task_dispatcher::state::ready_job>
task_dispatcher::state::collectReadyJobs(instant now, const cell_state &cell)
{
    std::vector<ready_job> result;
    const std::set<task_id> &unplaced = cell.unplacedTasks();
    for (auto it = unplaced.begin(); it != unplaced.end();) {
        const std::string &name = it->job;
        const auto last = unplaced.upper_bound(
                { .job = name, .index = std::numeric_limits<std::uint32_t>::max() });
        ready_job readyJob{ .job = cell.findJob(name) };
        if (readyJob.job != nullptr && isResponsibleFor(name))
            collectReadyTasks(now, cell, readyJob, { it, last });
        if (!readyJob.readyTasks.empty())
            result.push_back(std::move(readyJob));
        it = last;
    }
    return result;
}

void task_dispatcher::state::collectReadyTasks(instant now, const cell_state &cell,
                                               ready_job &readyJob,
                                               const std::vector<task_id> &tasks)
{
    for (const task_id &task : tasks) {
        const task_state *taskState = cell.findTask(task);
        if (taskState != nullptr && checkReady(now, *readyJob.job, task, *taskState))
            readyJob.readyTasks.push_back(task);
    }
    if (!vms.unsatisfiableReason(readyJob.job->description.taskResources).empty())
        readyJob.readyTasks.clear();
}

bool task_dispatcher::state::checkReady(instant now, const job_state &job, const task_id &task,
                                        const task_state &taskState)
{
    const job_submitted &description = job.description;
    if (taskState.phase == task_phase::revoking) {
        revocations.add(now, task, taskState.lastChange);
        if (revocations.age(now, task, taskState.lastChange) < revocationWaitOf(description))
            return false;
    }
    if (const std::string reason = permanentFailureReason(job, task, taskState); !reason.empty()) {
        records.submit(now, task,
                       task_failed{ .task = task, .base = taskState.lastChange, .reason = reason });
        return false;
    }
    return proposals.find(task) == nullptr
           && retries.mayRetry(now, task, taskState, description.taskPriority);
}

std::string task_dispatcher::state::permanentFailureReason(const job_state &job,
                                                           const task_id &task,
                                                           const task_state &taskState) const
{
    if (job.cancelled)
        return "cancelled";
    const std::uint32_t maxAttempts = job.description.maxAttempts;
    const std::uint32_t countedFailures = retries.countedFailures(task, taskState);
    if (countedFailures >= maxAttempts && retries.countedFailedVms(task, taskState) >= 2)
        return "failed " + std::to_string(taskState.failures) + " times on different VMs";
    if (countedFailures >= 2 * maxAttempts
        || taskState.failures >= maxTotalFailuresFactor * maxAttempts)
        return "failed " + std::to_string(taskState.failures) + " times";
    const std::uint32_t earlyReboots = retries.earlyReboots(task);
    if (earlyReboots >= maxEarlyRebootsFactor * maxAttempts)
        return std::to_string(earlyReboots) + " workers rebooted soon after its start";
    return {};
}

std::size_t task_dispatcher::state::placeTasks(instant now, const cell_state &cell,
                                               const ready_job &readyJob, std::size_t maxTasks)
{
    std::size_t placed = 0;
    std::size_t failedPlacements = 0;
    for (const task_id &task : readyJob.readyTasks) {
        if (placed == maxTasks || failedPlacements == maxFailedPlacementsPerJob)
            break;
        if (propose(now, *readyJob.job, task, *cell.findTask(task)))
            ++placed;
        else
            ++failedPlacements;
    }
    return placed;
}

std::size_t task_dispatcher::state::tasksInRack(const std::string &job,
                                                const std::string &rack) const
{
    std::size_t sum = 0;
    for (const auto &[vm, tasks] : claims.taskCountsByVm(job)) {
        if (vms.rackOf(vm) == rack)
            sum += tasks;
    }
    return sum;
}

bool task_dispatcher::state::propose(instant now, const job_state &job, const task_id &task,
                                     const task_state &taskState)
{
    const placement_request request{ .job = task.job,
                                     .templateName = job.description.templateName,
                                     .needed = job.description.taskResources };
    const auto allowed = [&](const placement_vm &vm) {
        return !proposals.wasRecentlyRefused(now, task, vm.vm);
    };
    const auto untried = [&](const placement_vm &vm) {
        return allowed(vm)
               && std::find(taskState.failedVms.begin(), taskState.failedVms.end(), vm.vm)
                          == taskState.failedVms.end();
    };
    const auto inRack = [&](const std::string &rack) { return tasksInRack(task.job, rack); };
    // Failures on different VMs distinguish a faulty task from a faulty VM.
    auto chosen = placement->choose(request, vms.placements(), untried, inRack);
    if (!chosen && !taskState.failedVms.empty())
        chosen = placement->choose(request, vms.placements(), allowed, inRack);
    if (!chosen)
        return false;
    placement_vm &vm = *vms.placement(vms.placements()[*chosen].vm);
    vm.available = vm.available - request.needed;
    ++vm.batchTemplates[request.templateName];
    if (health.inQuarantine(vm.vm))
        vm.eligible = false;
    health.onProposed(now, vm.vm);
    proposals.add(task, { .vm = vm.vm,
                          .base = taskState.lastChange,
                          .taskResources = request.needed,
                          .sentAt = now });
    const bool revoking = taskState.phase == task_phase::revoking;
    const duration age =
            revoking ? revocations.age(now, task, taskState.lastChange) : duration::zero();
    actions.emplace_back(
            send_message{ .connection = vms.find(vm.vm)->connection,
                          .content = task_proposal{ .task = task,
                                                    .job = job.description,
                                                    .base = taskState.lastChange,
                                                    .checkpoint = taskState.checkpoint,
                                                    .afterRevocation = revoking,
                                                    .revocationAgeUs = age.count() } });
    count("proposals_total");
    return true;
}

void task_dispatcher::state::countTaskRecord(const log_record &record)
{
    if (const auto *released = std::get_if<task_released>(&record))
        count("task_releases_total", toString(released->reason));
    else if (std::holds_alternative<task_claimed>(record))
        count("task_claims_total");
    else if (std::holds_alternative<task_finished>(record))
        count("task_finishes_total");
    else if (std::holds_alternative<task_failed>(record))
        count("task_failures_total");
}

void task_dispatcher::state::onClaimEnded(instant now, const claim_index::claim &claim,
                                          const task_id &task, const log_record &record)
{
    if (const auto *released = std::get_if<task_released>(&record)) {
        if (countsAsFailure(released->reason))
            onTaskFailure(now, claim, task);
        else if (released->reason == release_reason::worker_rebooted && claim.readFromRecord)
            retries.onWorkerRebooted(task, now - claim.readAt);
        else if (released->reason == release_reason::evicted)
            observeEviction(claim.vm, claim.templateName);
    } else if (std::holds_alternative<task_finished>(record)) {
        // For a claim that was loaded from a snapshot, readAt is later than the claim.
        if (claim.readFromRecord)
            sizes.onFinished(claim.templateName, (now - claim.readAt).count() / 1000);
        health.onSuccess(claim.vm, claim.templateName);
    }
}

void task_dispatcher::state::onTaskFailure(instant now, const claim_index::claim &claim,
                                           const task_id &task)
{
    retries.onFailure(now, task);
    health.onFailure(now, claim.vm, claim.templateName, task);
    if (health.inQuarantine(claim.vm))
        retries.excludeFailure(task, claim.vm);
    if (!health.shouldQuarantine(claim.vm) || !mayQuarantineAnother())
        return;
    for (const task_id &failed : health.quarantine(now, claim.vm))
        retries.excludeFailure(failed, claim.vm);
    count("vm_quarantines_total");
    actions.emplace_back(
            write_log{ .level = log_level::warning,
                       .event = "vm_quarantined",
                       .fields = { { "vm", claim.vm }, { "task", task.toString() } } });
}

// At most half of the VMs, rounded up, and never all of them are quarantined: if more of them fail,
// the jobs are the likelier cause.
bool task_dispatcher::state::mayQuarantineAnother() const
{
    const std::vector<placement_vm> &all = vms.placements();
    const auto quarantined = static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto &vm) { return health.inQuarantine(vm.vm); }));
    return quarantined < (all.size() + 1) / 2 && quarantined + 1 < all.size();
}

// Entries receive no latency samples of a VM, but an agent evicts only tasks that disturb its
// service, so an eviction is used as a sample.
void task_dispatcher::state::observeEviction(const std::string &vm, const std::string &templateName)
{
    const placement_vm *placementVm = vms.placement(vm);
    if (placementVm == nullptr || placementVm->serviceTemplate.empty())
        return;
    auto batch = claims.templateCountsOn(vm);
    ++batch[templateName];
    interference.observe({ .service = placementVm->serviceTemplate,
                           .load = placementVm->serviceLoad,
                           .batch = batch,
                           .batchShare = 1,
                           .latencyRatio = evictedLatencyRatio });
}

void task_dispatcher::state::releaseResources(const proposal_table::proposal &proposal)
{
    if (placement_vm *vm = vms.placement(proposal.vm))
        vm->available = vm->available + proposal.taskResources;
}

void task_dispatcher::state::count(std::string name, std::string label, std::uint64_t amount)
{
    actions.emplace_back(
            count_metric{ .name = std::move(name), .label = std::move(label), .amount = amount });
}

} // namespace plantainpitch
