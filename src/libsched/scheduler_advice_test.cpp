#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;

namespace {

/// Workers of the queue's service start nothing without a ticket.
void requireTickets(fleet_model &model, const std::set<std::string> &fitWorkers)
{
    model.config.version = 2;
    model.config.queues["batch"].needsTickets = true;
    model.owner->setConfig(model.config);
    model.eligibleWorkers = fitWorkers;
    for (auto &each : model.nodes)
        each.worker.checksTickets = true;
    model.run(1'000);
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_advice)

// Without tickets, workers refuse all starts and no job of the queue ever runs.
BOOST_AUTO_TEST_CASE(tasksRunOnTheWorkersThatHaveTickets)
{
    fleet_model model(4);
    requireTickets(model, { "worker-node-1", "worker-node-2" });
    model.send(model.submission("a", 6, 1'000, 2));
    BOOST_TEST(model.runUntil("a", job_state::completed, 4'000));
    BOOST_TEST(model.starts.size() == 12U);
}

BOOST_AUTO_TEST_CASE(ticketsAreAskedForWhileTheStepBeforeRuns)
{
    fleet_model model(2);
    requireTickets(model, { "worker-node-0" });
    model.send(model.submission("a", 2, 1'000, 2));
    model.run(300); // tasks run for 700 ms
    BOOST_TEST(model.advised.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ticketsThatHaveExpiredAreAskedForAgain)
{
    fleet_model model(1);
    requireTickets(model, { "worker-node-0" });
    model.send(model.submission("a", 20)); // more than run before the tickets expire
    BOOST_TEST(model.runUntil("a", job_state::completed, 8'000));
    BOOST_TEST(model.starts.size() == 20U);
    BOOST_TEST(model.advised.size() >= 2U);
}

// Guards against tasks that wait until tickets for other workers expire, although the limit on
// tasks per VM keeps the step from those workers: review/15.
BOOST_AUTO_TEST_CASE(ticketsAreAskedForIfTheHoldersOfTicketsAreAtTheirTaskLimit)
{
    fleet_model model(3);
    model.ticketValidityMs = 30'000;
    model.longRunningMs = 60'000;
    requireTickets(model, { "worker-node-0", "worker-node-1", "worker-node-2" });
    model.crashWorker(model.nodes[0]);
    model.run(1'000);
    auto call = model.submission("a", 3);
    call.submitted->spec->steps[0]->longRunning = true;
    call.submitted->spec->steps[0]->maxPerVm = 1;
    model.send(call);
    model.run(3'000);
    BOOST_TEST(model.starts.size() == 2U);
    model.nodes[0].worker.restart();
    model.run(3'000);
    BOOST_TEST(model.starts.size() == 3U);
}

// Guards against the same if the only holder of a ticket refuses all starts.
BOOST_AUTO_TEST_CASE(ticketsAreAskedForIfTheHolderOfATicketIsUnhealthy)
{
    fleet_model model(2);
    model.ticketValidityMs = 30'000;
    requireTickets(model, { "worker-node-0", "worker-node-1" });
    model.crashWorker(model.nodes[1]);
    model.nodes[0].worker.refusesStarts = true;
    model.run(1'000);
    model.send(model.submission("a", 1));
    model.run(4'000);
    BOOST_TEST(model.starts.empty());
    model.nodes[1].worker.restart();
    BOOST_TEST(model.runUntil("a", job_state::completed, 3'000));
}

BOOST_AUTO_TEST_CASE(workersThatMayNotRunAStepAreNotAskedAboutAgain)
{
    fleet_model model(2);
    requireTickets(model, {});
    model.send(model.submission("a", 1));
    model.run(3'000);
    BOOST_TEST(model.advised.size() == 1U);
    BOOST_TEST(model.starts.empty());
}

// Otherwise clients would see the job as started, and operators a queue without backlog.
BOOST_AUTO_TEST_CASE(aJobWhoseStartsAreRefusedCountsAsPending)
{
    fleet_model model(1);
    model.nodes[0].worker.checksTickets = true; // although the queue does not say so
    model.run(1'000);
    model.send(model.submission("a", 1));
    model.run(600);
    sched::client_call count;
    count.kind = static_cast<std::uint8_t>(sched::call_kind::count_pending);
    count.queue = "batch";
    count.number = 7;
    model.send(count);
    model.run(50);
    BOOST_REQUIRE(model.answers.count(7) == 1U);
    BOOST_TEST(model.answers[7].pending == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
