#include "agent_test_support.h"
#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace plantainpitch;
using std::chrono::milliseconds;
using test::fleet_model;
using test::requireNoViolations;

namespace {

constexpr std::int64_t maxLeaseMs = 10'000;

/// Three nodes whose workers keep leases of up to ten seconds, with a job of long tasks on them.
/// One worker has just started again under its id, and has executed a hold that was meant for its
/// last incarnation.
struct restarted_worker : fleet_model
{
    restarted_worker()
        : fleet_model(3)
    {
        setMaxLease(maxLeaseMs);
        longRunningMs = 3'600'000;
        run(6'000);
        crashWorker(nodes[0]);
        nodes[0].worker.restart();
        run(1'000);
        auto call = submission("service", 9, 1'000);
        call.submitted->spec->steps[0]->longRunning = true;
        send(call);
        run(500);
        BOOST_TEST(!nodes[0].worker.running.empty());
    }
};

/// An agent that has an owner and a worker of the incarnation 5, and a grant.
struct leasing_agent
{
    explicit leasing_agent(duration maxLease)
        : subject({ .node = "n", .maxLease = maxLease })
    {
        info.id = "w";
        info.startMs = 5;
        info.service = "pool";
        info.ready = true;
        sched::owner_hello hello;
        hello.epoch = 3;
        hello.termMs = 5'500;
        BOOST_TEST(subject.ownerOpened(hello, now));
        test::announceAndConfirm(subject, info, 1'000, now);
        sched::agent_orders orders;
        orders.grantedUs = now.time_since_epoch().count();
        subject.onOrders(orders, now);
        subject.takeCalls();
    }

    sched::worker_call nextHold()
    {
        subject.tick(now);
        for (const sched::worker_call &call : subject.takeCalls()) {
            if (call.kind == sched::worker_call_kind::hold)
                lastHold = call;
        }
        return lastHold;
    }

    instant now{ milliseconds(1'000'000) };
    sched::worker_info info;
    sched::agent subject;
    sched::worker_call lastHold;
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_leases)

// Guards against two runs of one task: a worker that had started again under its id held a lease of
// the longest span, its agent assumed one term, and the worker answered nothing for some seconds:
// review/7.
BOOST_AUTO_TEST_CASE(theRunsOfARestartedWorkerAreKeptForTheLongestLease)
{
    for (const std::int64_t silentMs : { 7'000, 9'000, 20'000 }) {
        restarted_worker model;
        model.nodes[0].workerSilent = true;
        model.run(silentMs);
        model.nodes[0].workerSilent = false;
        model.run(2'000);
        requireNoViolations(model);
    }
}

// Guards against the same at the owner, to which the agent is not connected any more.
BOOST_AUTO_TEST_CASE(theOwnerKeepsTheRunsOfARestartedWorkerForTheLongestLease)
{
    restarted_worker model;
    model.nodes[0].partitioned = true;
    model.run(20'000);
    requireNoViolations(model);
}

// Guards against the same at an owner that has taken over since.
BOOST_AUTO_TEST_CASE(aNewOwnerKeepsTheRunsOfARestartedWorkerForTheLongestLease)
{
    restarted_worker model;
    model.newOwner();
    model.run(100);
    model.nodes[0].partitioned = true;
    model.run(20'000);
    requireNoViolations(model);
}

// Guards against leases that the worker shortens while the agent takes them as granted in full.
BOOST_AUTO_TEST_CASE(noLeaseIsLongerThanTheWorkerKeeps)
{
    leasing_agent agent(milliseconds(2'000));
    const sched::worker_call hold = agent.nextHold();
    BOOST_TEST(hold.leaseUntilMs > 1'000 + 1'900);
    BOOST_TEST(hold.leaseUntilMs <= 1'000 + 2'000);
}

// Guards against a lease on the clock of the last incarnation, which the next one takes for a time
// far ahead: a call that fails may be the last that the known incarnation got.
BOOST_AUTO_TEST_CASE(aHoldThatFollowsAFailedOneCarriesNoLease)
{
    leasing_agent agent(milliseconds(6'000));
    BOOST_TEST(agent.nextHold().leaseUntilMs > 0);
    agent.subject.onReply(agent.lastHold, {}, agent.now);
    agent.now += milliseconds(200);
    BOOST_TEST(agent.nextHold().leaseUntilMs == 0);
    agent.subject.onReply(agent.lastHold, test::emptyListing(5, 1'200), agent.now);
    BOOST_TEST(agent.nextHold().leaseUntilMs > 0);
}

BOOST_AUTO_TEST_SUITE_END()
