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

    void loseMost()
    {
        for (std::size_t i = 0; i < 3; ++i) {
            nodes[i].partitioned = true;
            crashWorker(nodes[i]);
        }
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

// Guards against services that stay away while more than half of the agents, or all but one, are
// gone together with their owner: review/9.
BOOST_AUTO_TEST_CASE(servicesOfWorkersThatAreLostWithTheirOwnerRunAgain)
{
    for (const std::size_t lost : { 2U, 3U }) {
        service_model model;
        for (std::size_t i = 0; i < lost; ++i) {
            model.nodes[i].partitioned = true;
            model.crashWorker(model.nodes[i]);
        }
        model.run(1'500); // until the store gives the partition to another process
        model.newOwner();
        model.run(restartMs - 1'500);
        BOOST_TEST(model.running() == tasks, lost << " nodes lost");
        requireNoViolations(model);
    }
}

// Guards against two runs of one task: an earlier owner that is cut off from the store together
// with agents may go on granting leases to them.
BOOST_AUTO_TEST_CASE(anEarlierOwnerThatIsCutOffWithAgentsStartsNothingTwice)
{
    for (const std::size_t count : { 1U, 2U, 3U, 4U, 5U }) {
        service_model model;
        model.cutOff(count);
        model.run(15'000);
        if (count <= 3)
            BOOST_TEST(model.running() == tasks, count << " nodes cut off");
        model.endCutOff();
        model.run(10'000);
        requireNoViolations(model);
    }
}

// Guards against the same if agents have been connected to the new owner, but their workers have
// answered no call of it, and turn to the earlier one after a restart.
BOOST_AUTO_TEST_CASE(anEarlierOwnerThatGetsAgentsBackStartsNothingTwice)
{
    service_model model;
    model.cutOff(0);
    model.run(2 * fleet_model::stepMs);
    BOOST_TEST(model.nodes[0].linked);
    for (std::size_t i = 0; i < 3; ++i) {
        model.restartAgent(model.nodes[i]);
        model.turnToCutOffOwner(model.nodes[i]);
    }
    model.run(15'000);
    requireNoViolations(model);
}

// Guards against services that end while the store is down and nothing else is: an owner that hears
// all members has no successor.
BOOST_AUTO_TEST_CASE(anOwnerThatHearsAllMembersGoesOnGrantingWithoutTheStore)
{
    service_model model;
    model.storeUp = false;
    model.run(30'000);
    BOOST_TEST(model.running() == tasks);
    BOOST_TEST(model.starts.size() == tasks);
}

// Guards against grants of an owner whose missing member may be connected to its successor.
BOOST_AUTO_TEST_CASE(anOwnerThatHasLostAMemberGrantsNothingWithoutTheStore)
{
    service_model model;
    model.storeUp = false;
    model.nodes[0].partitioned = true;
    model.run(8'000);
    BOOST_TEST(model.running() == 0U);
    model.storeUp = true;
    model.run(restartMs);
    BOOST_TEST(model.running() == tasks);
    requireNoViolations(model);
}

BOOST_AUTO_TEST_SUITE_END()
