#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;

namespace {

sched::client_call gang(fleet_model &model, const std::string &id, std::uint32_t tasks,
                        std::uint32_t cpu)
{
    auto call = model.submission(id, tasks, cpu);
    call.submitted->spec->steps[0]->gang = true;
    return call;
}

std::size_t startsOf(const fleet_model &model, const std::string &id)
{
    return static_cast<std::size_t>(
            std::count_if(model.starts.begin(), model.starts.end(),
                          [&id](const std::string &each) { return each.starts_with(id + "."); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_gangs)

BOOST_AUTO_TEST_CASE(aGangStartsAsAWhole)
{
    fleet_model model(3);
    model.run(1'000);
    model.send(gang(model, "g", 5, 2'000));
    BOOST_TEST(model.runUntil("g", job_state::completed, 4'000));
    BOOST_TEST(startsOf(model, "g") == 5U);
}

// Guards against starting part of a gang: its members waited for the others and ended without them,
// repeatedly.
BOOST_AUTO_TEST_CASE(noMemberStartsUnlessAllFindRoomWithinTheLimitOfAVm)
{
    fleet_model model(2);
    model.run(1'000);
    auto call = gang(model, "g", 3, 500);
    call.submitted->spec->steps[0]->maxPerVm = 1;
    model.send(call);
    model.run(2'000);
    BOOST_TEST(startsOf(model, "g") == 0U);
}

BOOST_AUTO_TEST_CASE(noMemberStartsUnlessAllFindLeftOverProcessors)
{
    fleet_model model(2);
    model.run(1'000);
    auto call = gang(model, "g", 5, 2'000); // the VMs have 4'000 each
    call.submitted->spec->steps[0]->fills = true;
    model.send(call);
    model.run(2'000);
    BOOST_TEST(startsOf(model, "g") == 0U);
}

BOOST_AUTO_TEST_CASE(aGangThatFitsInARackStaysInIt)
{
    fleet_model model(4);
    for (std::size_t i = 2; i < 4; ++i)
        model.nodes[i].worker.info.labels = { "a", "rack-2" };
    model.run(1'000);
    auto call = gang(model, "g", 4, 2'000);
    call.submitted->spec->steps[0]->sameRack = true;
    model.send(call);
    model.run(400);
    std::set<std::string> racks;
    for (const auto &each : model.nodes) {
        if (!each.worker.running.empty())
            racks.insert(each.worker.info.labels[1]);
    }
    BOOST_TEST(racks.size() == 1U);
}

// Guards against a gang that never runs because no single rack can hold it. Spread over several
// racks, its work only takes longer.
BOOST_AUTO_TEST_CASE(aGangLargerThanEachRackRunsOnSeveral)
{
    fleet_model model(4);
    for (std::size_t i = 2; i < 4; ++i)
        model.nodes[i].worker.info.labels = { "a", "rack-2" };
    model.run(1'000);
    auto call = gang(model, "g", 6, 2'000);
    call.submitted->spec->steps[0]->sameRack = true;
    model.send(call);
    BOOST_TEST(model.runUntil("g", job_state::completed, 4'000));
}

// Guards against members that resume from different checkpoints, which their workers refuse.
BOOST_AUTO_TEST_CASE(allMembersOfAGangResumeFromTheSameState)
{
    fleet_model model(3);
    model.run(1'000);
    auto call = gang(model, "g", 3, 3'000);
    call.submitted->spec->steps[0]->checkpointing = true;
    model.send(call);
    model.run(200);
    for (auto &each : model.nodes) {
        for (auto &[task, state] : each.worker.running) {
            state.leftMs = 100'000;
            state.doneMs = each.name.back() - '0';
        }
    }
    model.run(1'000);
    for (auto &each : model.nodes) {
        while (!each.worker.running.empty())
            each.worker.end(each.worker.running.begin()->first, sched::run_outcome::broken);
    }
    model.run(300);
    const sched::job *found = model.owner->findJob("g");
    BOOST_REQUIRE(found);
    const auto &members = found->occurrences[0].steps[0].tasks;
    BOOST_TEST(members[0].run == 2U);
    BOOST_TEST(!members[0].checkpoint.empty());
    for (const sched::task &each : members)
        BOOST_TEST(each.checkpoint == members[0].checkpoint);
}

// Guards against endless retries of a gang in which a different member fails each time.
BOOST_AUTO_TEST_CASE(aGangHasFailedOnceForEachRunInWhichAMemberFailed)
{
    fleet_model model(3);
    model.run(1'000);
    model.send(gang(model, "g", 3, 3'000));
    for (std::size_t failing = 0; failing < 3; ++failing) {
        model.run(400);
        for (std::size_t i = 0; i < 3; ++i) {
            auto &running = model.nodes[i].worker.running;
            BOOST_REQUIRE(!running.empty());
            model.nodes[i].worker.end(running.begin()->first, i == failing
                                                                      ? sched::run_outcome::failed
                                                                      : sched::run_outcome::broken);
        }
    }
    BOOST_TEST(model.runUntil("g", job_state::failed, 1'000));
}

// Guards against members that hold their resources and wait for a refused member until they time
// out.
BOOST_AUTO_TEST_CASE(theMembersBesideARefusedOneAreStopped)
{
    fleet_model model(3);
    model.run(1'000);
    model.nodes[2].worker.checksTickets = true; // refuses what has no ticket
    model.send(gang(model, "g", 3, 3'000));
    model.run(400);
    model.nodes[2].worker.checksTickets = false;
    BOOST_TEST(model.runUntil("g", job_state::completed, 3'000));
    BOOST_TEST(startsOf(model, "g") > 3U);
    const sched::job *found = model.owner->findJob("g");
    std::set<std::uint32_t> runs;
    for (const sched::task &each : found->occurrences[0].steps[0].tasks)
        runs.insert(each.run);
    BOOST_TEST(runs.size() == 1U, "all members are of the same run");
}

// Guards against a long-running gang that does not run again: smaller jobs took each piece of
// capacity that became free, and it never found room for all members at once.
BOOST_AUTO_TEST_CASE(aLongRunningGangRunsAgainWhileSmallerTasksWait)
{
    fleet_model model(4);
    model.longRunningMs = 3'600'000;
    model.run(1'000);
    auto call = gang(model, "g", 3, 2'500);
    call.submitted->spec->steps[0]->longRunning = true;
    call.submitted->spec->steps[0]->estimateMs = 0;
    model.send(call);
    model.run(1'000);
    BOOST_REQUIRE(startsOf(model, "g") == 3U);
    int jobs = 0;
    const auto runUnderLoad = [&](std::int64_t ms) {
        for (std::int64_t passed = 0; passed < ms; passed += 100) {
            model.send(model.submission("small-" + std::to_string(++jobs), 12, 500));
            model.run(100);
        }
    };
    runUnderLoad(5'000);
    for (const char *member : { "g.0.0.0", "g.0.0.1", "g.0.0.2" }) {
        for (auto &each : model.nodes) {
            if (each.worker.running.count(member) > 0)
                each.worker.end(member, sched::run_outcome::failed);
        }
        runUnderLoad(500); // smaller tasks get what the member had
    }
    runUnderLoad(8'000);
    BOOST_TEST(startsOf(model, "g") == 6U);
    test::requireNoViolations(model);
}

// Guards against a gang that is done twice: all its workers were taken as lost before the ends of
// its members were known.
BOOST_AUTO_TEST_CASE(aGangThatCompletedBeforeItsWorkersWereTakenAsLostIsNotStartedAgain)
{
    fleet_model model(5);
    for (std::size_t i = 0; i < 2; ++i)
        model.nodes[i].worker.info.labels.push_back("x");
    model.run(1'000);
    auto call = gang(model, "g", 2, 500);
    call.submitted->spec->steps[0]->requiredLabel = "x";
    call.submitted->spec->steps[0]->maxPerVm = 1;
    model.send(call);
    model.run(300);
    BOOST_REQUIRE(startsOf(model, "g") == 2U);
    model.nodes[0].partitioned = true;
    model.nodes[1].partitioned = true;
    model.run(9'000);
    BOOST_REQUIRE(model.owner->findJob("g")->occurrences[0].steps[0].waiting == 2U);
    model.nodes[1].partitioned = false; // the end of one member completes all
    BOOST_TEST(model.runUntil("g", job_state::completed, 5'000));
    model.nodes[0].partitioned = false;
    model.run(3'000);
    BOOST_TEST(startsOf(model, "g") == 2U);
    test::requireNoViolations(model);
}

BOOST_AUTO_TEST_SUITE_END()
