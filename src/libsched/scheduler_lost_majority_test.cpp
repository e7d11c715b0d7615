#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;
using test::requireNoViolations;

namespace {

/// A task of a long-running step has to run again within this time after its last run.
constexpr std::int64_t restartMs = 9'000;
constexpr std::size_t tasks = 8;

/// Five nodes with a service whose tasks fit on any two of them.
struct service_model : fleet_model
{
    service_model()
        : fleet_model(5)
    {
        longRunningMs = 3'600'000;
        run(1'000);
        auto call = submission("service", tasks, 800);
        call.submitted->spec->steps[0]->longRunning = true;
        send(call);
        run(3'000);
        BOOST_TEST(running() == tasks);
    }

    [[nodiscard]] std::size_t running() const
    {
        std::size_t count = 0;
        for (const node &each : nodes)
            count += each.worker.running.size();
        return count;
    }

    void cutOffMost()
    {
        for (std::size_t i = 0; i < 3; ++i)
            nodes[i].partitioned = true;
    }

    void loseMost()
    {
        cutOffMost();
        for (std::size_t i = 0; i < 3; ++i)
            crashWorker(nodes[i]);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_lost_majority)

// Guards against services that stay away while more than half of the agents are gone: review/5.
BOOST_AUTO_TEST_CASE(servicesOfLostWorkersRunAgainWithoutAMajority)
{
    service_model model;
    model.loseMost();
    model.run(restartMs);
    BOOST_TEST(model.running() == tasks);
    requireNoViolations(model);
}

// Guards against the same for batch jobs.
BOOST_AUTO_TEST_CASE(batchJobsOfLostWorkersCompleteWithoutAMajority)
{
    fleet_model model(5);
    model.run(1'000);
    model.send(model.submission("a", 25, 800));
    model.run(300);
    for (std::size_t i = 0; i < 3; ++i) {
        model.nodes[i].partitioned = true;
        model.crashWorker(model.nodes[i]);
    }
    BOOST_TEST(model.runUntil("a", job_state::completed, restartMs + 2 * fleet_model::taskMs));
    requireNoViolations(model);
}

// Guards against two runs of one task: an earlier owner that the store does not reach may go on
// granting leases to the agents that a new owner has never reached.
BOOST_AUTO_TEST_CASE(nothingStartsElsewhereWhileAnEarlierOwnerMayHaveTheMajority)
{
    service_model model;
    model.cutOffMost();
    model.newOwner();
    model.run(15'000);
    BOOST_TEST(model.starts.size() == tasks);
}

// Guards against the same if the agents have reported to the new owner, but their workers have
// answered no call of it and would still accept those of the earlier one.
BOOST_AUTO_TEST_CASE(nothingStartsElsewhereWhileTheWorkersAreNotFenced)
{
    service_model model;
    model.newOwner();
    model.run(2 * fleet_model::stepMs);
    BOOST_TEST(model.nodes[0].linked);
    model.cutOffMost();
    model.run(15'000);
    BOOST_TEST(model.starts.size() == tasks);
}

BOOST_AUTO_TEST_SUITE_END()
