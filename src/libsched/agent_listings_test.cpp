#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;
using test::requireNoViolations;

namespace {

constexpr std::uint32_t tasks = 24;
constexpr std::int64_t outageMs = 4'200;

/// A fleet whose store goes down while the tasks of a job run, more on each worker than a listing
/// has ends.
struct outage_model : fleet_model
{
    outage_model()
        : fleet_model(2)
    {
        for (node &each : nodes)
            each.worker.maxListedEnds = 5;
        run(1'000);
        send(submission("a", tasks, 100));
        run(300);
        BOOST_TEST(starts.size() == tasks);
        storeUp = false;
        run(taskMs + 500); // all tasks end
    }

    /// Ends the outage; each task has to end by its only run.
    void checkThatNoTaskRunsAgain()
    {
        run(outageMs - taskMs - 500);
        storeUp = true;
        BOOST_TEST(runUntil("a", job_state::completed, 10'000));
        BOOST_TEST(starts.size() == tasks);
        requireNoViolations(*this);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_listings)

// Guards against running tasks again whose ends a listing had no room for: review/1.
BOOST_AUTO_TEST_CASE(endsBeyondAListingAreNoProofOfAbsence)
{
    outage_model model;
    model.checkThatNoTaskRunsAgain();
}

// Guards against the same after the owner has ordered stops of runs that a new agent process does
// not know.
BOOST_AUTO_TEST_CASE(endsBeyondAListingAreNoProofOfAbsenceForANewAgent)
{
    outage_model model;
    for (fleet_model::node &each : model.nodes)
        model.restartAgent(each);
    model.checkThatNoTaskRunsAgain();
}

// Guards against the same with an owner that has taken over during the outage.
BOOST_AUTO_TEST_CASE(endsBeyondAListingAreNoProofOfAbsenceForANewOwner)
{
    outage_model model;
    model.run(1'000);
    model.newOwner();
    model.checkThatNoTaskRunsAgain();
}

// Guards against a run that is never started again: the end of the list of ends makes its absence
// a proof.
BOOST_AUTO_TEST_CASE(aRunThatNeverWasIsStartedOnceAllEndsAreListed)
{
    fleet_model model(1);
    model.nodes[0].worker.maxListedEnds = 2;
    model.run(1'000);
    model.send(model.submission("a", 4, 100));
    model.run(300);
    model.nodes[0].worker.running.erase("a.0.0.3");
    BOOST_TEST(model.runUntil("a", job_state::completed, 10'000));
    requireNoViolations(model);
}

BOOST_AUTO_TEST_SUITE_END()
