#include "agent_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using std::chrono::milliseconds;

namespace {

/// An agent with a grant, beside a worker in the data centre "dc-a".
struct placed_agent
{
    explicit placed_agent(duration evacuationsTimeout = duration::zero())
        : subject({ .node = "n", .evacuationsTimeout = evacuationsTimeout })
    {
        info.id = "w";
        info.startMs = 5;
        info.service = "pool";
        info.dataCentre = "dc-a";
        info.ready = true;
        sched::owner_hello hello;
        hello.epoch = 3;
        hello.termMs = 5'500;
        BOOST_TEST(subject.ownerOpened(hello, now));
        test::announceAndConfirm(subject, info, 1'000, now);
        subject.takeReports();
    }

    /// Orders a start; returns the reason of its refusal, or "started".
    std::string order(const std::string &task)
    {
        sched::agent_orders orders;
        orders.grantedUs = now.time_since_epoch().count();
        orders.number = ++lastOrders;
        orders.worker = info.id;
        orders.workerStartMs = info.startMs;
        orders.starts.push_back(std::make_unique<sched::start_order>());
        orders.starts.back()->task = task;
        orders.starts.back()->run = 1;
        subject.onOrders(orders, now);
        subject.tick(now);
        for (const sched::agent_report &report : subject.takeReports()) {
            lastEvacuated = report.evacuated;
            if (!report.refused.empty())
                return report.refused.front()->reason;
        }
        for (const sched::worker_call &call : subject.takeCalls()) {
            if (call.kind == sched::worker_call_kind::start && call.task == task)
                return "started";
        }
        return {};
    }

    std::size_t stops()
    {
        subject.tick(now);
        std::size_t count = 0;
        for (const sched::worker_call &call : subject.takeCalls())
            count += call.kind == sched::worker_call_kind::stop ? 1 : 0;
        return count;
    }

    instant now{ milliseconds(1'000'000) };
    sched::worker_info info;
    sched::agent subject;
    std::uint64_t lastOrders = 0;
    bool lastEvacuated = false; ///< by the last report
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_evacuation)

// Guards against a start after the bound because the owner, or an order on its way, is older than
// the evacuation.
BOOST_AUTO_TEST_CASE(anAgentRefusesStartsInItsEvacuatedDataCentreByItself)
{
    placed_agent fixture;
    fixture.subject.setEvacuations({ .asOf = 5, .dataCentres = { "dc-a", "dc-b" } }, fixture.now);
    BOOST_TEST(fixture.order("a.0.0.0") == "evacuated");
    BOOST_TEST(fixture.lastEvacuated);
    fixture.subject.setEvacuations({ .asOf = 7, .dataCentres = { "dc-b" } }, fixture.now);
    BOOST_TEST(fixture.order("a.0.0.1") == "started");
}

// Guards against an owner that has not read the newest records and revokes an evacuation with them,
// or repeats one that has ended.
BOOST_AUTO_TEST_CASE(anOlderListDoesNotReplaceANewerOne)
{
    placed_agent fixture;
    fixture.subject.setEvacuations({ .asOf = 5, .dataCentres = { "dc-a" } }, fixture.now);
    fixture.subject.setEvacuations({ .asOf = 4, .dataCentres = {} }, fixture.now);
    BOOST_TEST(fixture.order("a.0.0.0") == "evacuated");
    fixture.subject.setEvacuations({ .asOf = 6, .dataCentres = {} }, fixture.now);
    fixture.subject.setEvacuations({ .asOf = 5, .dataCentres = { "dc-a" } }, fixture.now);
    BOOST_TEST(fixture.order("a.0.0.1") == "started");
}

// Guards against a new agent process that starts tasks before it has read the evacuations, and
// against one that never starts any because the store does not answer.
BOOST_AUTO_TEST_CASE(anAgentThatHasJustStartedWaitsForTheListForAWhile)
{
    placed_agent fixture(milliseconds(3'000));
    BOOST_TEST(fixture.order("a.0.0.0") == "evacuations_unknown");
    fixture.now += milliseconds(2'000);
    BOOST_TEST(fixture.order("a.0.0.1") == "evacuations_unknown");
    fixture.now += milliseconds(1'000);
    BOOST_TEST(fixture.order("a.0.0.2") == "started");

    placed_agent informed(milliseconds(3'000));
    informed.subject.setEvacuations({ .asOf = 1, .dataCentres = {} }, informed.now);
    BOOST_TEST(informed.order("a.0.0.0") == "started");
}

// Guards against work that is thrown away: an evacuation only forbids starts.
BOOST_AUTO_TEST_CASE(whatRunsInAnEvacuatedDataCentreGoesOn)
{
    placed_agent fixture;
    BOOST_TEST(fixture.order("a.0.0.0") == "started");
    fixture.subject.setEvacuations({ .asOf = 5, .dataCentres = { "dc-a" } }, fixture.now);
    fixture.now += milliseconds(500);
    BOOST_TEST(fixture.stops() == 0U);
    BOOST_TEST(fixture.subject.runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
