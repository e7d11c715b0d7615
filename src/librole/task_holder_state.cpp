#include "task_holder_state.h"

#include <algorithm>
#include <vector>

namespace plantainpitch {

namespace {

// Minimum interval between list calls when a task waits for one.
constexpr duration minListInterval = std::chrono::milliseconds(100);

} // namespace

duration task_holder::state::shortestTerm() const
{
    duration shortest = options.longestTerm;
    for (const auto &[task, machine] : machines)
        shortest = std::min(shortest, machine.term());
    return shortest;
}

void task_holder::state::requestAuthority(instant now)
{
    std::vector<held_task> held;
    for (const auto &[task, machine] : machines) {
        const auto phase = machine.currentPhase();
        const bool claimed = phase != held_task_machine::phase::forgetting
                             && phase != held_task_machine::phase::done;
        if (claimed && !machine.attempt().isNone())
            held.push_back({ .task = task, .attempt = machine.attempt() });
    }
    actions.emplace_back(
            send_message{ .connection = outbox.gateway(),
                          .content = authority.makeRequest(now, options.vm, std::move(held)) });
}

void task_holder::state::adoptUnlisted(instant now, const authority_grant &grant)
{
    for (const auto &[claim, termMs] : grant.unlisted) {
        if (machines.contains(claim.task))
            continue;
        const duration term = std::chrono::milliseconds(termMs);
        const auto listed = orphans.take(claim);
        if (listed)
            ledger.observe(claim.task, listed->reserved);
        const std::int64_t workerClockUs = worker.lease().leaseUntilUs(now);
        machines.try_emplace(claim.task, context, claim, term, listed, workerClockUs, now);
        count("claims_inherited_total", listed ? "listed" : "not_listed");
    }
}

void task_holder::state::requestList(instant now)
{
    const bool due = now >= lastListAt + options.listInterval
                     || (context.listRequested && now >= lastListAt + minListInterval);
    if (listOutstanding || !due)
        return;
    listOutstanding = true;
    lastListAt = now;
    context.listRequested = false;
    worker.send(now, { .operation = worker_operation::list });
}

void task_holder::state::onAnswer(instant now, const worker_answer &answer,
                                  const worker_link::pending_call &call)
{
    if (answer.result == worker_result::no_answer)
        count("worker_calls_unanswered_total");
    if (call.operation == worker_operation::list) {
        listOutstanding = false;
        if (answer.result == worker_result::ok && answer.list)
            onList(now, answer, call.sentAt);
    } else {
        orphans.onWorkerAnswer(answer);
        if (const auto found = machines.find(call.task); found != machines.end())
            found->second.onWorkerAnswer(now, answer);
    }
}

void task_holder::state::onBoot(instant now, const worker_answer &answer)
{
    const bool first = context.workerBoot.empty();
    context.workerBoot = answer.list->boot;
    if (first) {
        authority.makeDue(); // grants before the first list were not used for adoption
        return;
    }
    worker.abandonAll();
    worker.useClockOf(now, answer.workerClockUs);
    orphans.clear();
    for (auto &[task, machine] : machines)
        machine.onNewBoot(now);
    count("worker_reboots_total");
    actions.emplace_back(write_log{ .level = log_level::warning,
                                    .event = "worker_rebooted",
                                    .fields = { { "boot", context.workerBoot } } });
}

void task_holder::state::onList(instant now, const worker_answer &answer, instant sentAt)
{
    const worker_list &list = *answer.list;
    if (list.boot != context.workerBoot)
        onBoot(now, answer);
    rack = list.rack;
    ledger.setCapacity(list.capacity);

    std::vector<worker_task> unmatched;
    std::map<task_id, const worker_task *> matched;
    for (const worker_task &entry : list.tasks) {
        const auto found = machines.find(entry.task);
        if (found != machines.end()
            && found->second.matches({ .task = entry.task, .attempt = entry.attempt })) {
            matched[entry.task] = &entry;
        } else {
            unmatched.push_back(entry);
        }
    }
    for (auto &[task, machine] : machines) {
        const auto entry = matched.find(task);
        machine.onListed(answer.callId, sentAt, answer.workerClockUs,
                         entry == matched.end() ? nullptr : entry->second);
    }
    orphans.onListed(now, unmatched);
    observeUsage(list);
}

void task_holder::state::observeUsage(const worker_list &list)
{
    std::map<task_id, resources> running;
    for (const worker_task &entry : list.tasks) {
        const auto found = machines.find(entry.task);
        const bool mayRunAgain = found != machines.end() && found->second.needsResources();
        if (entry.state == worker_task_state::running || mayRunAgain)
            running[entry.task] = running[entry.task] + entry.reserved;
    }
    ledger.forgetAllObserved();
    for (const auto &[task, amount] : running)
        ledger.observe(task, amount);
}

void task_holder::state::stepAll(instant now)
{
    for (auto &[task, machine] : machines) {
        machine.setThrottle(throttlePercent);
        machine.step(now);
    }
    orphans.step(now, worker);
    ledger.check();
    releaseReservations();
}

void task_holder::state::releaseReservations()
{
    for (auto it = machines.begin(); it != machines.end();) {
        if (!it->second.needsResources())
            ledger.release(it->first);
        if (it->second.currentPhase() == held_task_machine::phase::done)
            it = machines.erase(it);
        else
            ++it;
    }
}

const char *task_holder::state::refusalReason(const task_proposal &proposal) const
{
    if (draining)
        return "draining";
    if (outbox.gateway() == 0)
        return "no_gateway";
    if (context.workerBoot.empty())
        return "no_worker";
    // A start of an earlier process may still take effect and needs its resources.
    const bool sizeUnknown = std::any_of(machines.begin(), machines.end(), [](const auto &entry) {
        return entry.second.sizeUnknown();
    });
    if (!inheritedClaimsKnown || sizeUnknown)
        return "inherited_claims";
    if (machines.contains(proposal.task) || orphans.contains(proposal.task))
        return "held";
    return nullptr;
}

void task_holder::state::refuse(connection_id from, const task_proposal &proposal,
                                const char *reason)
{
    actions.emplace_back(send_message{ .connection = from,
                                       .content = proposal_refused{ .task = proposal.task,
                                                                    .base = proposal.base,
                                                                    .reason = reason } });
    count("proposals_refused_total", reason);
}

void task_holder::state::count(std::string name, std::string label)
{
    actions.emplace_back(count_metric{ .name = std::move(name), .label = std::move(label) });
}

} // namespace plantainpitch
