#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using test::fleet_model;

namespace {

/// Whether the owner grants the first agent a lease for a report that arrives now.
bool grants(fleet_model &model)
{
    model.owner->takeMessages();
    sched::agent_report report;
    report.sentUs = model.now().time_since_epoch().count();
    report.responsive = true;
    model.owner->onReport(model.nodes[0].name, report, model.now());
    for (const auto &message : model.owner->takeMessages()) {
        const auto *orders = message.content.content.Asagent_orders();
        if (orders && orders->grantedUs != 0)
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_suspension)

// Guards against an owner that was suspended for some seconds and grants a lease on what it knew
// before: another process has become the owner and takes the lease of that agent as ended.
BOOST_AUTO_TEST_CASE(anOwnerThatWasSuspendedGrantsNothingUntilItKnowsItsAgents)
{
    fleet_model model(3);
    model.run(2'000);
    BOOST_TEST(grants(model));
    model.timeMs += 5'000; // nothing is done meanwhile
    BOOST_TEST(!grants(model));
    for (int i = 0; i < 4; ++i) {
        model.timeMs += 100;
        model.owner->tick(model.now(), model.timeMs);
        BOOST_TEST(!grants(model));
    }
    // Most agents are still connected: no other owner has them.
    model.timeMs += 100;
    model.owner->tick(model.now(), model.timeMs);
    BOOST_TEST(grants(model));
}

// Guards against leases that end on healthy workers because their owner was suspended: the store
// confirms at once that it still is the owner.
BOOST_AUTO_TEST_CASE(anOwnerThatTheStoreConfirmsGrantsAtOnce)
{
    fleet_model model(3);
    model.run(2'000);
    model.timeMs += 2'000;
    BOOST_TEST(!grants(model));
    model.owner->confirmOwnership(model.now());
    BOOST_TEST(grants(model));
}

// Guards against a worker that stays unknown: its entry was removed between the first report of its
// agent, which names the worker and got no lease, and the first listing. Later reports do not name
// it, so that it got no tasks and the ends that it listed were ignored.
BOOST_AUTO_TEST_CASE(aWorkerThatIsAnnouncedJustAfterASuspensionStaysKnown)
{
    fleet_model model(3);
    model.run(2'000);
    model.storeUp = false; // nothing confirms the ownership
    model.timeMs += 7'200;
    model.restartAgent(model.nodes[0]);
    model.run(1'000);
    model.storeUp = true;
    model.run(3'000);
    const sched::worker_key key{ model.nodes[0].worker.info.id,
                                 model.nodes[0].worker.info.startMs };
    const auto found = model.owner->workers().find(key);
    BOOST_REQUIRE((found != model.owner->workers().end()));
    BOOST_TEST(found->second->connected);
}

BOOST_AUTO_TEST_SUITE_END()
