#pragma once

#include "authority_request_tracker.h"
#include "held_task_machine.h"
#include "orphaned_tasks.h"
#include "record_outbox.h"
#include "worker_link.h"

#include "plantainpitch/role/resource_ledger.h"
#include "plantainpitch/role/task_holder.h"

#include <map>
#include <string>
#include <utility>

namespace plantainpitch {

struct task_holder::state
{
    state(task_holder_options given, std::uint64_t seed)
        : options(std::move(given))
        , worker(actions, options.callTimeout)
        , outbox(actions)
        // The first nonce is random, so that a grant for an earlier process of this VM does not
        // match a request of this one.
        , authority(seed * 0x9e3779b97f4a7c15ULL + 1, options.authorityInterval)
        , ledger(options.reservedForService)
        , context{ .options = options, .actions = actions, .worker = worker, .outbox = outbox }
    {}

    state(const state &) = delete;
    state &operator=(const state &) = delete;

    [[nodiscard]] duration shortestTerm() const;
    void requestAuthority(instant now);
    void adoptUnlisted(instant now, const authority_grant &grant);
    void requestList(instant now);
    void onAnswer(instant now, const worker_answer &answer, const worker_link::pending_call &call);
    void onList(instant now, const worker_answer &answer, instant sentAt);
    void onBoot(instant now, const worker_answer &answer);
    void observeUsage(const worker_list &list);
    void stepAll(instant now);
    void releaseReservations();
    void refuse(connection_id from, const task_proposal &proposal, const char *reason);
    [[nodiscard]] const char *refusalReason(const task_proposal &proposal) const;
    void count(std::string name, std::string label = {});

    task_holder_options options;
    action_list actions;
    worker_link worker;
    record_outbox outbox;
    authority_request_tracker authority;
    resource_ledger ledger;
    holder_context context;
    orphaned_tasks orphans;
    std::map<task_id, held_task_machine> machines;
    std::string rack;
    std::uint32_t throttlePercent = 0;
    bool draining = false;
    bool inheritedClaimsKnown = false; ///< the log named claims of earlier processes
    bool listOutstanding = false;
    instant lastListAt{ duration::min() / 2 };
};

} // namespace plantainpitch
