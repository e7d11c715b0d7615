#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using test::fleet_model;
using test::requireNoViolations;

namespace {

/// A task of a long-running step has to run again within this time after its last run.
constexpr std::int64_t restartMs = 9'000;

/// A fleet whose services run until they are cancelled, and a stream of small jobs of which more
/// come than fit beside the services.
struct busy_fleet
{
    explicit busy_fleet(std::uint32_t nodes)
        : model(nodes)
    {
        model.longRunningMs = 3'600'000;
        model.run(1'000);
    }

    void startService(const std::string &id, std::uint32_t tasks, std::uint32_t cpu,
                      std::uint32_t maxPerVm = 0)
    {
        auto call = model.submission(id, tasks, cpu);
        auto &step = *call.submitted->spec->steps[0];
        step.longRunning = true;
        step.targetMs = 50;
        step.maxPerVm = maxPerVm;
        step.estimateMs = 0;
        model.send(call);
        model.run(500);
    }

    /// Adds a queue "ticketed"; only the given workers get tickets for its steps.
    void requireTickets(const std::set<std::string> &fitWorkers)
    {
        model.config.queues["ticketed"] = model.config.queues["batch"];
        model.config.queues["ticketed"].name = "ticketed";
        model.config.queues["ticketed"].needsTickets = true;
        model.eligibleWorkers = fitWorkers;
        model.newOwner();
        model.run(1'000);
    }

    /// Starts the job "service" in the queue "ticketed".
    void startTicketedService(std::uint32_t tasks, std::uint32_t cpu)
    {
        auto call = model.submission("service", tasks, cpu);
        call.queue = "ticketed";
        call.submitted->queue = "ticketed";
        call.submitted->spec->steps[0]->longRunning = true;
        call.submitted->spec->steps[0]->maxPerVm = 1;
        model.send(call);
        model.run(1'000);
    }

    /// Runs for \a ms while small jobs are submitted; stops early once \a reached returns true.
    bool runUnderLoad(std::int64_t ms, const std::function<bool()> &reached)
    {
        for (std::int64_t passed = 0; passed < ms; passed += submitMs) {
            model.send(model.submission("small-" + std::to_string(++jobs), loadTasks, 500));
            model.run(submitMs);
            if (reached())
                return true;
        }
        return false;
    }
    void runUnderLoad(std::int64_t ms)
    {
        runUnderLoad(ms, [] { return false; });
    }

    fleet_model::node *find(const std::string &task)
    {
        for (auto &each : model.nodes) {
            if (each.worker.up && each.worker.running.count(task) > 0)
                return &each;
        }
        return nullptr;
    }

    bool runsAgain(const std::string &task, std::int64_t ms)
    {
        return runUnderLoad(ms, [&] { return find(task) != nullptr; });
    }

    static constexpr std::int64_t submitMs = 100;
    fleet_model model;
    std::uint32_t loadTasks = 4; ///< of each small job
    int jobs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_lasting)

// Guards against a service that stays incomplete: smaller tasks took all capacity that became free,
// because a service that is older than its objective ranked behind every batch job.
BOOST_AUTO_TEST_CASE(aFailedTaskOfAServiceRunsAgainWhileSmallerTasksWait)
{
    busy_fleet fleet(2);
    fleet.startService("service", 2, 2'500, 1);
    fleet.runUnderLoad(10'000);
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    place->worker.end("service.0.0.0", sched::run_outcome::failed);
    BOOST_TEST(fleet.runsAgain("service.0.0.0", restartMs));
    requireNoViolations(fleet.model);
}

// Guards against services that rank as too late to be of use: their objective is for a completion.
BOOST_AUTO_TEST_CASE(theRankOfAServiceDoesNotDependOnItsAge)
{
    busy_fleet fleet(1);
    fleet.startService("service", 1, 500);
    const sched::job *service = fleet.model.owner->findJob("service");
    BOOST_REQUIRE(service);
    const sched::queue_view view{ &fleet.model.config.queues["batch"], 0 };
    const double atFirst = fleet.model.order.rank(*service, view, fleet.model.now());
    fleet.model.run(60'000);
    BOOST_TEST(fleet.model.order.rank(*service, view, fleet.model.now()) == atFirst);
}

// Guards against a service that stays incomplete because batch work of a higher priority takes all
// capacity that becomes free.
BOOST_AUTO_TEST_CASE(aFailedTaskOfAServiceRunsAgainWhileMoreUrgentWorkWaits)
{
    busy_fleet fleet(2);
    fleet.model.config.queues["service"] = fleet.model.config.queues["batch"];
    fleet.model.config.queues["service"].name = "service";
    fleet.model.config.queues["service"].priority = 2;
    fleet.model.newOwner();
    fleet.model.run(1'000);
    auto call = fleet.model.submission("service", 2, 2'500);
    call.queue = "service";
    call.submitted->queue = "service";
    call.submitted->spec->steps[0]->longRunning = true;
    call.submitted->spec->steps[0]->maxPerVm = 1;
    fleet.model.send(call);
    fleet.runUnderLoad(10'000);
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    place->worker.end("service.0.0.0", sched::run_outcome::failed);
    BOOST_TEST(fleet.runsAgain("service.0.0.0", restartMs));
    requireNoViolations(fleet.model);
}

// Guards against services that stay incomplete after a takeover, although the worker whose runs
// were lost has long been known to be gone.
BOOST_AUTO_TEST_CASE(tasksOfALostWorkerRunAgainAfterATakeover)
{
    busy_fleet fleet(4);
    fleet.startService("one", 3, 1'900, 1);
    fleet.startService("two", 3, 1'500, 1);
    fleet.runUnderLoad(10'000);
    auto *place = fleet.find("one.0.0.0");
    BOOST_REQUIRE(place);
    std::vector<std::string> lost;
    for (const auto &[task, state] : place->worker.running) {
        if (!task.starts_with("small"))
            lost.push_back(task);
    }
    BOOST_REQUIRE(!lost.empty());
    fleet.model.crashWorker(*place);
    fleet.runUnderLoad(1'000);
    fleet.model.newOwner();
    fleet.runUnderLoad(restartMs - 1'000);
    for (const std::string &task : lost)
        BOOST_TEST((fleet.find(task) != nullptr), task << " does not run");
    requireNoViolations(fleet.model);
}

// Guards against a wait that begins anew at a takeover: batch work of a higher priority took all
// capacity that became free until the task was overdue again.
BOOST_AUTO_TEST_CASE(aTaskThatWaitsAtATakeoverIsOverdueAtOnce)
{
    busy_fleet fleet(2);
    fleet.model.config.queues["service"] = fleet.model.config.queues["batch"];
    fleet.model.config.queues["service"].name = "service";
    fleet.model.config.queues["service"].priority = 2;
    fleet.model.newOwner();
    fleet.runUnderLoad(5'000);
    auto call = fleet.model.submission("service", 1, 500);
    call.queue = "service";
    call.submitted->queue = "service";
    call.submitted->spec->steps[0]->longRunning = true;
    fleet.model.send(call);
    fleet.runUnderLoad(800);
    BOOST_REQUIRE(!fleet.find("service.0.0.0"));
    fleet.model.newOwner();
    BOOST_TEST(fleet.runsAgain("service.0.0.0", 900)); // a task of the load takes 700 ms
    requireNoViolations(fleet.model);
}

// Guards against a wait that begins only once a loss is known, seconds after the last run: batch
// work of a higher priority took all capacity of the worker that had returned.
BOOST_AUTO_TEST_CASE(aTaskWhoseWorkerHasCrashedIsOverdueAtOnce)
{
    constexpr std::int64_t returnMs = 500; // too soon for the loss to be known before
    constexpr std::int64_t loadTaskMs = fleet_model::taskMs;
    constexpr std::int64_t announcementMs = 300; // until the owner knows of the new incarnation
    const auto msUntilItRunsAgain = [](std::int64_t crashAfterMs, bool takeover) {
        busy_fleet fleet(1);
        auto &queues = fleet.model.config.queues;
        queues["service"] = queues["batch"];
        queues["service"].name = "service";
        queues["service"].priority = 2;
        fleet.model.newOwner();
        fleet.model.run(1'000);
        auto call = fleet.model.submission("service", 1, 500);
        call.queue = "service";
        call.submitted->queue = "service";
        call.submitted->spec->steps[0]->longRunning = true;
        fleet.model.send(call);
        while (!fleet.find("service.0.0.0"))
            fleet.model.run(10);
        fleet.model.run(crashAfterMs);
        fleet.model.crashWorker(fleet.model.nodes[0]);
        fleet.model.nodes[0].worker.restartInMs = returnMs;
        if (takeover)
            fleet.model.newOwner();
        fleet.runUnderLoad(returnMs);
        BOOST_REQUIRE(fleet.model.nodes[0].worker.up);
        const std::int64_t returnedMs = fleet.model.timeMs;
        fleet.runsAgain("service.0.0.0", restartMs);
        requireNoViolations(fleet.model);
        return fleet.model.timeMs - returnedMs;
    };
    for (const bool takeover : { false, true }) {
        for (const std::int64_t crashAfterMs : { 5'000, 10 }) { // the run has been reported, or not
            const std::int64_t took = msUntilItRunsAgain(crashAfterMs, takeover);
            BOOST_TEST(took <= announcementMs + loadTaskMs,
                       "crash after " << crashAfterMs << " ms, takeover " << takeover << ": "
                                      << took << " ms");
        }
    }
}

// Guards against an order by chance among the tasks that wait at a takeover.
BOOST_AUTO_TEST_CASE(ofTheTasksThatWaitAtATakeoverThatOfTheOldestJobRunsFirst)
{
    busy_fleet fleet(1);
    fleet.startService("blocker", 1, 3'500);
    for (int i = 0; i < 6; ++i)
        fleet.startService("service-" + std::to_string(i), 1, 2'500);
    fleet.model.newOwner();
    fleet.model.run(1'500);
    sched::client_call cancel;
    cancel.kind = static_cast<std::uint8_t>(sched::call_kind::cancel);
    cancel.job = "blocker";
    fleet.model.send(cancel);
    fleet.model.run(1'500);
    BOOST_TEST((fleet.find("service-0.0.0.0") != nullptr));
    requireNoViolations(fleet.model);
}

// Guards against a service that waits although the only workers with capacity are those that were
// excluded after failures.
BOOST_AUTO_TEST_CASE(aTaskOfAServiceRunsAgainAlthoughAllWorkersAreExcluded)
{
    busy_fleet fleet(2);
    fleet.startService("service", 2, 2'500, 1);
    fleet.runUnderLoad(2'000);
    for (auto &each : fleet.model.nodes)
        each.worker.failsAll = true;
    fleet.runUnderLoad(20'000); // the exclusion has grown to its longest
    for (auto &each : fleet.model.nodes)
        each.worker.failsAll = false;
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    place->worker.end("service.0.0.0", sched::run_outcome::failed);
    BOOST_TEST(fleet.runsAgain("service.0.0.0", restartMs));
    requireNoViolations(fleet.model);
}

// Guards against a service with tickets that waits while all workers are excluded: tickets were not
// asked for on them.
BOOST_AUTO_TEST_CASE(aTaskThatNeedsATicketRunsAgainAlthoughAllWorkersAreExcluded)
{
    busy_fleet fleet(2);
    fleet.requireTickets({ "worker-node-0", "worker-node-1" });
    fleet.startTicketedService(2, 2'500);
    for (auto &each : fleet.model.nodes)
        each.worker.failsAll = true;
    fleet.runUnderLoad(20'000); // the exclusion has grown to its longest
    for (auto &each : fleet.model.nodes)
        each.worker.failsAll = false;
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    place->worker.end("service.0.0.0", sched::run_outcome::failed);
    BOOST_TEST(fleet.runsAgain("service.0.0.0", restartMs));
    requireNoViolations(fleet.model);
}

// Guards against room that is held for a task only on workers that may not run it.
BOOST_AUTO_TEST_CASE(aTaskThatNeedsATicketRunsAgainOnTheOnlyFitWorker)
{
    busy_fleet fleet(5);
    fleet.loadTasks = 8;
    fleet.requireTickets({ "worker-node-4" });
    fleet.startTicketedService(1, 3'500);
    fleet.runUnderLoad(5'000);
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    place->worker.end("service.0.0.0", sched::run_outcome::failed);
    BOOST_TEST(fleet.runsAgain("service.0.0.0", restartMs));
    requireNoViolations(fleet.model);
}

// Guards against capacity that is kept free on every VM for one task of a service.
BOOST_AUTO_TEST_CASE(smallTasksGoOnStartingWhileATaskOfAServiceWaits)
{
    busy_fleet fleet(4);
    fleet.startService("service", 4, 2'500, 1);
    fleet.runUnderLoad(10'000);
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    place->worker.end("service.0.0.0", sched::run_outcome::failed);
    const std::size_t before = fleet.model.starts.size();
    fleet.runUnderLoad(1'000);
    // The other three VMs start 3 x 1.5 / 0.5 tasks each 0.7 s; half of it leaves room for delays.
    BOOST_TEST(fleet.model.starts.size() - before >= 6U);
    requireNoViolations(fleet.model);
}

// Guards against a service that waits although workers have capacity, because the one that refuses
// its starts is chosen each time.
BOOST_AUTO_TEST_CASE(aTaskOfAServiceRunsOnAnotherWorkerAfterARefusal)
{
    busy_fleet fleet(3);
    fleet.startService("service", 1, 1'000);
    auto *place = fleet.find("service.0.0.0");
    BOOST_REQUIRE(place);
    fleet.startService("neighbour", 1, 1'000); // makes the place the preferred one
    place->worker.refusesStarts = true;
    place->worker.end("service.0.0.0", sched::run_outcome::lapsed);
    for (int i = 0; i < restartMs && !fleet.find("service.0.0.0"); i += 100)
        fleet.model.run(100);
    BOOST_TEST((fleet.find("service.0.0.0") != nullptr));
}

// Guards against room that is held for one task on every worker: smaller tasks of services that
// would fit could not run.
BOOST_AUTO_TEST_CASE(aWaitingTaskDoesNotKeepSmallerOnesOfOtherServicesWaiting)
{
    busy_fleet fleet(3);
    fleet.model.longRunningMs = 3'600'000;
    for (const char *id : { "one", "two", "three" }) {
        auto call = fleet.model.submission(id, 1, 2'500); // a long batch run on each VM
        call.submitted->spec->steps[0]->estimateMs = 60'000;
        fleet.model.send(call);
    }
    fleet.model.run(300);
    for (auto &each : fleet.model.nodes) {
        for (auto &[task, state] : each.worker.running)
            state.leftMs = 60'000;
    }
    fleet.startService("large", 1, 3'000);
    fleet.model.run(6'000); // room is held for it on all VMs that may get it
    fleet.startService("small", 1, 500);
    for (int i = 0; i < restartMs && !fleet.find("small.0.0.0"); i += 100)
        fleet.model.run(100);
    BOOST_TEST((fleet.find("small.0.0.0") != nullptr));
}

// Guards against a service whose many tasks fit nowhere and are considered instead of those of
// others: only the tasks that had waited longest were.
BOOST_AUTO_TEST_CASE(aServiceThatFitsNowhereDoesNotKeepOthersWaiting)
{
    busy_fleet fleet(2);
    fleet.model.config.queues["service"] = fleet.model.config.queues["batch"];
    fleet.model.config.queues["service"].name = "service";
    fleet.model.config.queues["service"].priority = 2;
    fleet.model.newOwner();
    fleet.model.run(1'000);
    fleet.startService("too-large", 1'000, 30'000);
    fleet.runUnderLoad(5'000);
    auto call = fleet.model.submission("service", 2, 2'500);
    call.queue = "service";
    call.submitted->queue = "service";
    call.submitted->spec->steps[0]->longRunning = true;
    call.submitted->spec->steps[0]->maxPerVm = 1;
    fleet.model.send(call);
    BOOST_TEST(fleet.runUnderLoad(restartMs, [&fleet] {
        return fleet.find("service.0.0.0") && fleet.find("service.0.0.1");
    }));
    requireNoViolations(fleet.model);
}

// Guards against a batch job that uses up its attempts on an excluded worker, the only one with
// room, although it could wait.
BOOST_AUTO_TEST_CASE(aBatchJobKeepsItsAttemptsWhileTheOnlyFreeWorkerFailsEverything)
{
    busy_fleet fleet(2);
    fleet.startService("service", 2, 3'500, 1);
    auto &failing = fleet.model.nodes[0];
    failing.worker.failsAll = true;
    for (int i = 0; i < 4; ++i) // until the failing worker is excluded
        fleet.model.send(fleet.model.submission("first-" + std::to_string(i), 1, 500));
    fleet.model.run(3'000);
    fleet.startService("other", 1, 500, 1);
    fleet.model.send(fleet.model.submission("job", 1, 500));
    fleet.model.run(6'000);
    failing.worker.failsAll = false;
    BOOST_TEST(fleet.model.runUntil("job", sched::job_state::completed, 40'000));
}

BOOST_AUTO_TEST_SUITE_END()
