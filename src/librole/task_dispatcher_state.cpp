#include "task_dispatcher_state.h"

#include "lease_calculator.h"

#include "plantainpitch/policy/interference_placement.h"
#include "plantainpitch/policy/slack_order.h"
#include "plantainpitch/role/rendezvous_hash.h"

#include <algorithm>
#include <limits>

namespace plantainpitch {

namespace {

// Bounds the work of one tick; the rest follows 50 ms later.
constexpr std::size_t maxProposalsPerPass = 500;

// Tasks of a job differ only in the VMs that refused them, so after a few without room the others
// are not likely to find any.
constexpr std::size_t maxMissesPerJob = 4;

// Failures on VMs in quarantine do not count against a task, but a task that is itself the fault of
// everything must end as well.
constexpr std::uint32_t excusedAttemptsFactor = 4;

// Latency, as a share of the target, that an eviction stands for.
constexpr double evictedLatencyRatio = 1.1;

} // namespace

task_dispatcher::state::state(task_dispatcher_options given, std::uint64_t seed)
    : options(std::move(given))
    , entries({ options.entry })
    , records(actions)
    , order(std::make_unique<slack_order>(sizes))
    , placement(std::make_unique<interference_placement>(interference, options.goal))
{
    (void)seed;
}

bool task_dispatcher::state::responsible(const std::string &job) const
{
    return rendezvousOwner(entries, job) == options.entry;
}

duration task_dispatcher::state::waitAfterRevocation(const job_submitted &job) const
{
    return revocationWait(std::chrono::milliseconds(job.authorityTermMs), options.clockDriftRatio,
                          options.revocationMargin);
}

void task_dispatcher::state::revokeLost(instant now, const cell_state &cell)
{
    vms.noteHolders(now, claims.holders());
    for (const std::string &vm : vms.lostVms(now, options.vmLostAfter)) {
        for (const task_id &task : cell.tasksHeldBy(vm)) {
            const task_state *known = cell.findTask(task);
            if (known == nullptr || known->phase != task_phase::claimed || !responsible(task.job))
                continue;
            if (records.submit(now, task,
                               task_revoked{ .task = task,
                                             .attempt = known->attempt,
                                             .reason = "VM " + vm + " is lost" }))
                count("revocations_total", "vm_lost");
        }
    }
}

void task_dispatcher::state::pass(instant now, const cell_state &cell, std::int64_t nowMs)
{
    lastPass = now;
    dirty = false;
    count("placement_passes_total");
    refreshEligibility(now);
    const std::vector<job_work> work = collect(now, cell);

    std::vector<batch_candidate> candidates;
    team_usage_map usage = teams;
    for (auto &[team, entry] : usage)
        entry.running = claims.runningOf(team);
    for (const job_work &entry : work) {
        const job_submitted &job = entry.job->description;
        candidates.push_back({ .job = job.job,
                               .templateName = job.templateName,
                               .team = job.team,
                               .taskPriority = job.taskPriority,
                               .submittedMs = job.submittedMs,
                               .deadlineMs = job.deadlineMs,
                               .expectedRunTimeMs = job.expectedRunTimeMs,
                               .waitingTasks = static_cast<std::uint32_t>(entry.ready.size()) });
    }
    std::size_t left = maxProposalsPerPass;
    for (const batch_choice &choice : order->order(candidates, usage, nowMs)) {
        left -= place(now, cell, work[choice.candidate],
                      std::min<std::size_t>(choice.maxTasks, left));
        if (left == 0) {
            dirty = true;
            break;
        }
    }
}

void task_dispatcher::state::refreshEligibility(instant now)
{
    for (const placement_vm &entry : vms.placements()) {
        placement_vm *vm = vms.placement(entry.vm);
        const bool probing = health.inQuarantine(entry.vm);
        vm->eligible = !vms.find(entry.vm)->draining && health.mayPropose(now, entry.vm)
                       && !(probing && proposals.outstandingOn(entry.vm) > 0);
        vm->batchTemplates = claims.templatesOn(entry.vm);
    }
}

std::vector<task_dispatcher::state::job_work>
task_dispatcher::state::collect(instant now, const cell_state &cell)
{
    std::vector<job_work> result;
    const std::set<task_id> &unplaced = cell.unplacedTasks();
    for (auto it = unplaced.begin(); it != unplaced.end();) {
        const std::string &name = it->job;
        const auto last = unplaced.upper_bound(
                { .job = name, .index = std::numeric_limits<std::uint32_t>::max() });
        job_work work{ .job = cell.findJob(name) };
        if (work.job != nullptr && responsible(name))
            collectJob(now, cell, work, { it, last });
        if (!work.ready.empty())
            result.push_back(std::move(work));
        it = last;
    }
    return result;
}

void task_dispatcher::state::collectJob(instant now, const cell_state &cell, job_work &work,
                                        const std::vector<task_id> &tasks)
{
    for (const task_id &task : tasks) {
        const task_state *known = cell.findTask(task);
        if (known != nullptr && examine(now, *work.job, task, *known))
            work.ready.push_back(task);
    }
    if (!vms.whyNever(work.job->description.taskResources).empty())
        work.ready.clear();
}

bool task_dispatcher::state::examine(instant now, const job_state &job, const task_id &task,
                                     const task_state &state)
{
    const job_submitted &description = job.description;
    if (state.phase == task_phase::revoking) {
        revocations.onRevoking(now, task, state.lastChange);
        if (revocations.age(now, task, state.lastChange) < waitAfterRevocation(description))
            return false;
    }
    if (const std::string verdict = verdictOn(job, task, state); !verdict.empty()) {
        records.submit(now, task,
                       task_failed{ .task = task, .base = state.lastChange, .reason = verdict });
        return false;
    }
    return proposals.find(task) == nullptr
           && retries.mayRetry(now, task, state, description.taskPriority);
}

std::string task_dispatcher::state::verdictOn(const job_state &job, const task_id &task,
                                              const task_state &state) const
{
    if (job.cancelled)
        return "cancelled";
    const std::uint32_t most = job.description.maxAttempts;
    const std::uint32_t counted = retries.countedFailures(task, state);
    if (counted >= most && retries.countedVms(task, state) >= 2)
        return "failed " + std::to_string(state.failures) + " times on different VMs";
    if (counted >= 2 * most || state.failures >= excusedAttemptsFactor * most)
        return "failed " + std::to_string(state.failures) + " times";
    return {};
}

std::size_t task_dispatcher::state::place(instant now, const cell_state &cell, const job_work &work,
                                          std::size_t most)
{
    std::size_t placed = 0;
    std::size_t misses = 0;
    for (const task_id &task : work.ready) {
        if (placed == most || misses == maxMissesPerJob)
            break;
        if (propose(now, *work.job, task, *cell.findTask(task)))
            ++placed;
        else
            ++misses;
    }
    return placed;
}

std::size_t task_dispatcher::state::tasksInRack(const std::string &job,
                                                const std::string &rack) const
{
    std::size_t sum = 0;
    for (const auto &[vm, tasks] : claims.vmsOf(job)) {
        if (vms.rackOf(vm) == rack)
            sum += tasks;
    }
    return sum;
}

bool task_dispatcher::state::propose(instant now, const job_state &job, const task_id &task,
                                     const task_state &known)
{
    const placement_request request{ .job = task.job,
                                     .templateName = job.description.templateName,
                                     .needed = job.description.taskResources };
    const auto allowed = [&](const placement_vm &vm) {
        return !proposals.avoids(now, task, vm.vm);
    };
    const auto untried = [&](const placement_vm &vm) {
        return allowed(vm)
               && std::find(known.failedVms.begin(), known.failedVms.end(), vm.vm)
                          == known.failedVms.end();
    };
    const auto inRack = [&](const std::string &rack) { return tasksInRack(task.job, rack); };
    // Failures on different VMs tell a fault of the task from a fault of a VM.
    auto chosen = placement->choose(request, vms.placements(), untried, inRack);
    if (!chosen && !known.failedVms.empty())
        chosen = placement->choose(request, vms.placements(), allowed, inRack);
    if (!chosen)
        return false;
    placement_vm &vm = *vms.placement(vms.placements()[*chosen].vm);
    vm.available = vm.available - request.needed;
    ++vm.batchTemplates[request.templateName];
    if (health.inQuarantine(vm.vm))
        vm.eligible = false;
    health.onProposed(now, vm.vm);
    proposals.add(
            task,
            { .vm = vm.vm, .base = known.lastChange, .amount = request.needed, .sentAt = now });
    const bool revoking = known.phase == task_phase::revoking;
    const duration age = revoking ? revocations.age(now, task, known.lastChange) : duration::zero();
    actions.emplace_back(
            send_message{ .connection = vms.find(vm.vm)->connection,
                          .content = task_proposal{ .task = task,
                                                    .job = job.description,
                                                    .base = known.lastChange,
                                                    .checkpoint = known.checkpoint,
                                                    .afterRevocation = revoking,
                                                    .revocationAgeUs = age.count() } });
    count("proposals_total");
    return true;
}

void task_dispatcher::state::countChange(const log_record &record)
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

void task_dispatcher::state::onEndOfClaim(instant now, const claim_index::claim &claim,
                                          const task_id &task, const log_record &record)
{
    if (const auto *released = std::get_if<task_released>(&record)) {
        if (countsAsFailure(released->reason))
            noteFailure(now, claim, task);
        else if (released->reason == release_reason::evicted)
            learnEviction(claim.vm, claim.templateName);
    } else if (std::holds_alternative<task_finished>(record)) {
        // A claim that was read from a snapshot is older than its reading.
        if (claim.sinceClaim)
            sizes.onFinished(claim.templateName, (now - claim.readAt).count() / 1000);
        health.onSuccess(claim.vm, claim.templateName);
    }
}

void task_dispatcher::state::noteFailure(instant now, const claim_index::claim &claim,
                                         const task_id &task)
{
    retries.onFailure(now, task);
    health.onFailure(now, claim.vm, claim.templateName, task);
    if (health.inQuarantine(claim.vm))
        retries.excuse(task, claim.vm);
    if (!health.isSuspect(claim.vm) || !mayQuarantineAnother())
        return;
    for (const task_id &failed : health.quarantine(now, claim.vm))
        retries.excuse(failed, claim.vm);
    count("vm_quarantines_total");
    actions.emplace_back(
            write_log{ .level = log_level::warning,
                       .event = "vm_quarantined",
                       .fields = { { "vm", claim.vm }, { "task", task.toString() } } });
}

// Half of the VMs, rounded up, but never all: then the jobs are more likely at fault.
bool task_dispatcher::state::mayQuarantineAnother() const
{
    const std::vector<placement_vm> &all = vms.placements();
    const auto quarantined = static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto &vm) { return health.inQuarantine(vm.vm); }));
    return quarantined < (all.size() + 1) / 2 && quarantined + 1 < all.size();
}

// Entries see no latency samples of a VM, but an agent evicts only what disturbs its service.
void task_dispatcher::state::learnEviction(const std::string &vm, const std::string &templateName)
{
    const placement_vm *known = vms.placement(vm);
    if (known == nullptr || known->serviceTemplate.empty())
        return;
    auto batch = claims.templatesOn(vm);
    ++batch[templateName];
    interference.observe({ .service = known->serviceTemplate,
                           .load = known->serviceLoad,
                           .batch = batch,
                           .batchShare = 1,
                           .latencyRatio = evictedLatencyRatio });
}

void task_dispatcher::state::giveBack(const proposal_table::proposal &proposal)
{
    if (placement_vm *vm = vms.placement(proposal.vm))
        vm->available = vm->available + proposal.amount;
}

void task_dispatcher::state::count(std::string name, std::string label, std::uint64_t amount)
{
    actions.emplace_back(
            count_metric{ .name = std::move(name), .label = std::move(label), .amount = amount });
}

} // namespace plantainpitch
