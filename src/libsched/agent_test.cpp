#include "agent_test_support.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

using namespace plantainpitch;
using std::chrono::milliseconds;

namespace {

/// An agent with a worker and an owner, which has granted nothing yet.
struct owned_agent
{
    owned_agent()
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
    }

    instant now{ milliseconds(1'000'000) };
    sched::worker_info info;
    sched::agent subject{ { .node = "n" } };
};

/// The same with a grant.
struct granted_agent : owned_agent
{
    granted_agent()
    {
        grant();
        subject.takeCalls();
        subject.takeReports();
    }

    void grant()
    {
        sched::agent_orders orders;
        orders.grantedUs = now.time_since_epoch().count();
        subject.onOrders(orders, now);
    }

    void orderStart(std::uint64_t workerStartMs)
    {
        sched::agent_orders orders;
        orders.number = 1;
        orders.workerStartMs = workerStartMs;
        orders.starts.push_back(std::make_unique<sched::start_order>());
        orders.starts.back()->task = "a.0.0.0";
        orders.starts.back()->run = 1;
        subject.onOrders(orders, now);
    }

    /// Reason of the only refusal in the next report; empty: none.
    std::string refusal()
    {
        subject.tick(now);
        for (const sched::agent_report &report : subject.takeReports()) {
            if (!report.refused.empty())
                return report.refused.front()->reason;
        }
        return {};
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

    /// Answers the next hold.
    void list(const sched::worker_listing &listing)
    {
        sched::worker_reply reply;
        reply.kind = sched::worker_reply_kind::accepted;
        reply.clockMs = workerClockMs;
        reply.listing = listing;
        subject.onReply(nextHold(), reply, now);
    }

    void listNothing(std::uint64_t startMs)
    {
        sched::worker_listing listing;
        listing.startMs = startMs;
        list(listing);
    }

    std::size_t starts()
    {
        std::size_t count = 0;
        for (const sched::worker_call &call : subject.takeCalls())
            count += call.kind == sched::worker_call_kind::start ? 1 : 0;
        return count;
    }

    /// Lists one run, answers the calls that follow with \a kind, and returns their paces.
    std::vector<std::uint32_t> pacesAfterListing(sched::worker_reply_kind kind)
    {
        now += milliseconds(500);
        sched::worker_listing listing;
        listing.startMs = info.startMs;
        listing.running.emplace_back();
        listing.running.back().task = "a.0.0.0";
        listing.running.back().run = 1;
        list(listing);
        std::vector<std::uint32_t> paces;
        for (const sched::worker_call &call : subject.takeCalls()) {
            if (call.kind != sched::worker_call_kind::pace)
                continue;
            paces.push_back(call.percent);
            sched::worker_reply reply;
            reply.kind = kind;
            subject.onReply(call, reply, now);
        }
        return paces;
    }

    void describeAsFilling()
    {
        sched::agent_orders orders;
        orders.number = 1;
        orders.workerStartMs = info.startMs;
        orders.describes.push_back(std::make_unique<sched::start_order>());
        orders.describes.back()->task = "a.0.0.0";
        orders.describes.back()->run = 1;
        orders.describes.back()->fills = true;
        subject.onOrders(orders, now);
    }

    std::int64_t workerClockMs = 1'000;
    sched::worker_call lastHold;
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent)

// Guards against runs that stand still for good: an earlier agent process had paced them down, and
// its successor assumed full pace.
BOOST_AUTO_TEST_CASE(anAdoptedFillingRunGetsAPace)
{
    granted_agent agent;
    agent.pacesAfterListing(sched::worker_reply_kind::accepted);
    agent.describeAsFilling();
    const std::vector<std::uint32_t> once{ sched::fullPace };
    BOOST_TEST(agent.pacesAfterListing(sched::worker_reply_kind::accepted) == once);
    BOOST_TEST(agent.pacesAfterListing(sched::worker_reply_kind::accepted).empty());
}

// Guards against adopted runs and paces without an answer that the agent's log does not show: what
// stood still on a worker could not be told from it (issue 17).
BOOST_AUTO_TEST_CASE(adoptedRunsAndUnconfirmedPacesAreLogged)
{
    granted_agent agent;
    agent.pacesAfterListing(sched::worker_reply_kind::accepted);
    agent.describeAsFilling();
    agent.pacesAfterListing(sched::worker_reply_kind::unanswered);
    std::map<std::string, int> events;
    for (const write_log &line : agent.subject.takeLogLines())
        ++events[line.event];
    BOOST_TEST(events["runs_adopted"] == 1);
    BOOST_TEST(events["pace_sent"] == 1);
    BOOST_TEST(events["pace_not_confirmed"] == 1);
}

// Guards against a worker that is excluded as stalled: its owner measured progress against a pace
// that the worker had not confirmed.
BOOST_AUTO_TEST_CASE(aPaceThatIsNotConfirmedIsReportedAsUnknown)
{
    granted_agent agent;
    const auto paceUnknown = [&agent](sched::worker_reply_kind kind) {
        agent.subject.takeReports();
        agent.now += milliseconds(1'000);
        agent.pacesAfterListing(kind);
        agent.subject.tick(agent.now);
        for (const sched::agent_report &report : agent.subject.takeReports()) {
            if (!report.running.empty())
                return report.running.front()->paceUnknown;
        }
        BOOST_ERROR("no run was reported");
        return false;
    };
    agent.pacesAfterListing(sched::worker_reply_kind::accepted);
    BOOST_TEST(paceUnknown(sched::worker_reply_kind::accepted));
    agent.describeAsFilling();
    BOOST_TEST(paceUnknown(sched::worker_reply_kind::unanswered));
    paceUnknown(sched::worker_reply_kind::accepted);
    BOOST_TEST(!paceUnknown(sched::worker_reply_kind::accepted));
}

// Guards against a pace that is carried out late, after a newer one, and stays.
BOOST_AUTO_TEST_CASE(anUnansweredPaceIsRepeatedWhileItMayBeCarriedOut)
{
    granted_agent agent;
    agent.pacesAfterListing(sched::worker_reply_kind::accepted);
    agent.describeAsFilling();
    BOOST_TEST(agent.pacesAfterListing(sched::worker_reply_kind::unanswered).size() == 1U);
    std::size_t repeated = 0;
    instant last{};
    const instant begin = agent.now;
    for (int i = 0; i < 60; ++i) {
        if (agent.pacesAfterListing(sched::worker_reply_kind::accepted).empty())
            continue;
        ++repeated;
        last = agent.now;
    }
    BOOST_TEST(repeated <= 16U);
    // Orders were seen to be carried out up to 12 s late.
    BOOST_TEST((last - begin >= std::chrono::seconds(12)));
    BOOST_TEST((last - begin <= std::chrono::seconds(16)));
}

BOOST_AUTO_TEST_CASE(aDrainingWorkerGetsNoStart)
{
    granted_agent f;
    f.info.ready = false;
    f.subject.workerAnnounced({ .info = f.info, .sequence = 1 }, f.now);
    f.orderStart(5);
    BOOST_TEST(f.starts() == 0U);
    BOOST_TEST(f.refusal() == "draining");
}

BOOST_AUTO_TEST_CASE(ordersForAnEarlierIncarnationAreRefused)
{
    granted_agent f;
    f.orderStart(4);
    BOOST_TEST(f.starts() == 0U);
    BOOST_TEST(f.refusal() == "worker_gone");
}

// Guards against a task that runs twice: orders for a worker that has gone were carried out on the
// next one, which had another id and the same start.
BOOST_AUTO_TEST_CASE(ordersForAnotherWorkerWithTheSameStartAreRefused)
{
    granted_agent f;
    sched::agent_orders orders;
    orders.number = 1;
    orders.worker = "last";
    orders.workerStartMs = 5;
    orders.starts.push_back(std::make_unique<sched::start_order>());
    orders.starts.back()->task = "a.0.0.0";
    orders.starts.back()->run = 1;
    f.subject.onOrders(orders, f.now);
    BOOST_TEST(f.starts() == 0U);
    BOOST_TEST(f.refusal() == "worker_gone");
}

BOOST_AUTO_TEST_CASE(nothingStartsOnceTheGrantIsNearItsEnd)
{
    granted_agent f;
    f.now += milliseconds(5'000);
    f.orderStart(5);
    BOOST_TEST(f.starts() == 0U);
    BOOST_TEST(f.refusal() == "no_grant");
}

// Two processes that both consider themselves the owner must not both give orders.
BOOST_AUTO_TEST_CASE(anEarlierOwnerIsRefused)
{
    granted_agent f;
    sched::owner_hello late;
    late.epoch = 2;
    BOOST_TEST(!f.subject.ownerOpened(late, f.now));
}

BOOST_AUTO_TEST_CASE(aLateAnnouncementOfAnEarlierIncarnationIsIgnored)
{
    granted_agent f;
    sched::worker_info old = f.info;
    old.startMs = 4;
    f.subject.workerAnnounced({ .info = old }, f.now);
    f.subject.tick(f.now);
    std::size_t questions = 0;
    for (const sched::worker_call &call : f.subject.takeCalls()) {
        if (call.kind != sched::worker_call_kind::identify)
            continue;
        ++questions;
        f.subject.onReply(call, test::emptyListing(5, 1), f.now);
    }
    BOOST_TEST(questions == 1U);
    f.orderStart(5);
    BOOST_TEST(f.starts() == 1U);
}

// An unanswered start may still be executed seconds later unless a stop prevents it.
BOOST_AUTO_TEST_CASE(aStartWithoutAnswerIsStoppedBeforeItCountsAsNotStarted)
{
    granted_agent f;
    f.orderStart(5);
    auto calls = f.subject.takeCalls();
    BOOST_REQUIRE(calls.size() == 1U);
    f.subject.onReply(calls[0], {}, f.now);
    calls = f.subject.takeCalls();
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST((calls[0].kind == sched::worker_call_kind::stop));
    BOOST_TEST(f.refusal().empty());
    sched::worker_reply accepted;
    accepted.kind = sched::worker_reply_kind::accepted;
    f.subject.onReply(calls[0], accepted, f.now);
    BOOST_TEST(f.refusal().empty());
    for (const sched::worker_call &call : f.subject.takeCalls()) {
        sched::worker_reply listing = accepted;
        listing.listing.emplace();
        listing.listing->startMs = 5;
        f.subject.onReply(call, listing, f.now);
        f.subject.tick(f.now);
    }
    // A listing requested before the stop's answer proves nothing; the next one does.
    for (const sched::worker_call &call : f.subject.takeCalls()) {
        sched::worker_reply listing = accepted;
        listing.listing.emplace();
        listing.listing->startMs = 5;
        f.subject.onReply(call, listing, f.now);
    }
    BOOST_TEST(f.refusal() == "not_there");
}

// Guards against a task that runs twice: the answer to a stop that an earlier incarnation carried
// out counted for the next one, which could still carry out a late start.
BOOST_AUTO_TEST_CASE(anAnswerOfAnEarlierIncarnationStopsNothingOnTheNextOne)
{
    granted_agent f;
    const auto orderStop = [&f](std::uint64_t number) {
        sched::agent_orders orders;
        orders.number = number;
        orders.workerStartMs = f.info.startMs;
        orders.stops.push_back(std::make_unique<sched::run_ref>());
        orders.stops.back()->task = "a.0.0.0";
        orders.stops.back()->run = 1;
        f.subject.onOrders(orders, f.now);
        return f.subject.takeCalls();
    };
    const auto earlier = orderStop(1);
    BOOST_REQUIRE(earlier.size() == 1U);
    f.listNothing(6);
    f.info.startMs = 6;
    f.subject.workerAnnounced({ .info = f.info }, f.now);
    f.workerClockMs = 10;
    BOOST_TEST(orderStop(2).size() == 1U);
    sched::worker_reply accepted;
    accepted.kind = sched::worker_reply_kind::accepted;
    f.subject.onReply(earlier[0], accepted, f.now);
    f.listNothing(6);
    f.listNothing(6);
    BOOST_TEST(f.refusal().empty());
}

// Guards against the refusal by an earlier incarnation of a run that the next one may carry out.
BOOST_AUTO_TEST_CASE(refusalsOfAnEarlierIncarnationAreNotReportedForTheNextOne)
{
    granted_agent f;
    f.subject.ownerClosed(f.now);
    f.orderStart(4);
    f.listNothing(6);
    f.info.startMs = 6;
    f.subject.workerAnnounced({ .info = f.info }, f.now);
    sched::owner_hello hello;
    hello.epoch = 4;
    hello.termMs = 5'500;
    BOOST_TEST(f.subject.ownerOpened(hello, f.now));
    BOOST_TEST(f.refusal().empty());
}

// Only a listing shows which incarnation has received a start.
BOOST_AUTO_TEST_CASE(aRunIsReportedAsRunningOnceItIsListed)
{
    granted_agent f;
    f.listNothing(5);
    f.subject.takeReports();
    f.orderStart(5);
    sched::worker_reply accepted;
    accepted.kind = sched::worker_reply_kind::accepted;
    for (const sched::worker_call &call : f.subject.takeCalls()) {
        if (call.kind == sched::worker_call_kind::start)
            f.subject.onReply(call, accepted, f.now);
    }
    f.now += milliseconds(1'100);
    f.subject.tick(f.now);
    for (const sched::agent_report &report : f.subject.takeReports()) {
        BOOST_TEST(report.running.empty());
        BOOST_TEST((!report.complete || report.starting.size() == 1U));
    }
}

BOOST_AUTO_TEST_CASE(nothingStartsOnAnIncarnationThatHasNotAnnouncedItself)
{
    granted_agent f;
    f.listNothing(6);
    f.orderStart(5);
    BOOST_TEST(f.starts() == 0U);
    BOOST_TEST(f.refusal() == "worker_gone");
    f.info.startMs = 6;
    f.subject.workerAnnounced({ .info = f.info }, f.now);
    f.listNothing(6);
    f.orderStart(6);
    BOOST_TEST(f.starts() == 1U);
}

// Wall clocks jump, so a later incarnation may carry an earlier start.
BOOST_AUTO_TEST_CASE(anIncarnationWithAnEarlierStartIsTakenIfItAnswers)
{
    granted_agent f;
    f.listNothing(3);
    f.info.startMs = 3;
    f.subject.workerAnnounced({ .info = f.info }, f.now);
    f.listNothing(3);
    f.orderStart(3);
    BOOST_TEST(f.starts() == 1U);
}

// Guards against a worker that is never used: the wall clock had been set back, or an announcement
// with a start in the future had come, and its own start was earlier than the known one.
BOOST_AUTO_TEST_CASE(aWorkerWithAnEarlierStartIsTakenIfItAnswersInPlaceOfTheKnownOne)
{
    granted_agent f;
    sched::worker_info next = f.info;
    next.id = "next";
    next.startMs = 4;
    sched::worker_info earlier = f.info;
    earlier.startMs = 4;
    f.subject.workerAnnounced({ .info = next }, f.now);
    f.subject.workerAnnounced({ .info = earlier }, f.now);
    f.subject.tick(f.now);
    const std::vector<sched::worker_call> calls = f.subject.takeCalls();
    f.orderStart(4);
    BOOST_TEST(f.starts() == 0U);
    BOOST_TEST(f.refusal() == "worker_gone");
    for (const sched::worker_call &call : calls) {
        sched::worker_reply gone;
        gone.kind = sched::worker_reply_kind::refused;
        gone.reason = "worker_gone";
        f.subject.onReply(call, call.workerId == "next" ? test::emptyListing(4, 100) : gone, f.now);
    }
    f.orderStart(4);
    BOOST_TEST(f.starts() == 1U);
}

// Guards against a grant or a term that no owner of this system gives: the sums overflowed, and the
// runs of a silent worker would not have moved for weeks.
BOOST_AUTO_TEST_CASE(absurdGrantsAndTermsAreLoggedAndIgnored)
{
    constexpr std::int64_t latest = std::numeric_limits<std::int64_t>::max();
    for (const std::int64_t granted : { latest, latest - 1, std::int64_t{ 1 } << 62 }) {
        granted_agent f;
        const std::int64_t lease = f.nextHold().leaseUntilMs;
        sched::agent_orders orders;
        orders.grantedUs = granted;
        f.subject.onOrders(orders, f.now);
        f.orderStart(5);
        for (const sched::worker_call &call : f.subject.takeCalls())
            BOOST_TEST(call.leaseUntilMs == lease);
        const auto lines = f.subject.takeLogLines();
        BOOST_TEST(std::count_if(lines.begin(), lines.end(),
                                 [](const write_log &line) {
                                     return line.event == std::string("grant_unreadable");
                                 })
                   == 1);
    }
    for (const std::uint32_t term : { 0U, std::numeric_limits<std::uint32_t>::max() }) {
        granted_agent f;
        sched::owner_hello hello;
        hello.epoch = 4;
        hello.termMs = term;
        BOOST_TEST(!f.subject.ownerOpened(hello, f.now));
        BOOST_TEST(f.subject.takeLogLines().back().event == std::string("owner_rejected"));
        f.orderStart(5);
        BOOST_TEST(f.starts() == 1U);
    }
}

// A new incarnation would discard its own ends up to a number confirmed for the previous one.
BOOST_AUTO_TEST_CASE(afterAFailedHoldNoEndsAreConfirmed)
{
    granted_agent f;
    sched::worker_listing listing;
    listing.startMs = 5;
    sched::run_end end;
    end.number = 7;
    end.task = "a.0.0.0";
    end.run = 1;
    listing.ended.push_back(end);
    f.list(listing);
    sched::agent_orders noted;
    noted.number = 1;
    noted.workerStartMs = 5;
    noted.endsNoted = 7;
    f.subject.onOrders(noted, f.now);
    BOOST_TEST(f.nextHold().endsNoted == 7U);
    f.subject.onReply(f.lastHold, {}, f.now);
    f.now += milliseconds(200);
    BOOST_TEST(f.nextHold().endsNoted == 0U);
}

// Guards against a restarted worker that stays without work until the next periodic report.
BOOST_FIXTURE_TEST_CASE(theFirstListingOfAWorkerIsReportedAtOnce, granted_agent)
{
    listNothing(5);
    subject.tick(now);
    subject.takeReports();
    info.startMs = 6;
    test::announceAndConfirm(subject, info, 1'000, now);
    subject.tick(now);
    const auto reports = subject.takeReports();
    BOOST_TEST(std::any_of(reports.begin(), reports.end(),
                           [](const sched::agent_report &each) { return each.complete; }));
}

// Guards against a run on two workers (soak seed 1006): a restarted agent took its first unanswered
// call as proof that the leases granted by its predecessor had ended.
BOOST_AUTO_TEST_CASE(aRestartedAgentWaitsForTheLeasesOfItsPredecessor)
{
    owned_agent f;
    const instant start = f.now;
    const auto lapsesAt = [&f](instant at) {
        f.subject.tick(at);
        sched::worker_reply reply;
        reply.kind = sched::worker_reply_kind::unanswered;
        for (const sched::worker_call &call : f.subject.takeCalls())
            f.subject.onReply(call, reply, at);
        f.subject.tick(at);
        const auto reports = f.subject.takeReports();
        return std::any_of(reports.begin(), reports.end(),
                           [](const sched::agent_report &report) { return report.lapsed; });
    };
    // The predecessor's lease may be the longest one, 6 s by a worker's clock that is 2 % slow.
    BOOST_TEST(!lapsesAt(start));
    BOOST_TEST(!lapsesAt(start + milliseconds(6'120)));
    BOOST_TEST(lapsesAt(start + milliseconds(6'600)));
}

// Guards against runs that never move off a silent worker: each unanswered hold extended the lease.
BOOST_AUTO_TEST_CASE(theLeasesOfASilentWorkerEndWhileItsOwnerGoesOnGranting)
{
    granted_agent f;
    f.listNothing(5);
    const instant silentSince = f.now;
    bool lapsed = false;
    while (!lapsed && f.now < silentSince + std::chrono::seconds(20)) {
        f.now += milliseconds(100);
        f.grant();
        f.subject.tick(f.now);
        for (const sched::worker_call &call : f.subject.takeCalls())
            f.subject.onReply(call, {}, f.now);
        for (const sched::agent_report &report : f.subject.takeReports())
            lapsed = lapsed || report.lapsed;
    }
    BOOST_TEST(lapsed);
    BOOST_TEST((f.now - silentSince < milliseconds(7'000)));
}

// Guards against starts that extend the lease of a silent worker in place of the holds.
BOOST_AUTO_TEST_CASE(aStartOnASilentWorkerExtendsNoLease)
{
    granted_agent f;
    f.listNothing(5);
    const std::int64_t lease = f.nextHold().leaseUntilMs;
    f.subject.onReply(f.lastHold, {}, f.now);
    f.now += milliseconds(1'000);
    f.grant();
    f.orderStart(5);
    std::size_t starts = 0;
    for (const sched::worker_call &call : f.subject.takeCalls()) {
        if (call.kind != sched::worker_call_kind::start)
            continue;
        ++starts;
        BOOST_TEST(call.leaseUntilMs == lease);
    }
    BOOST_TEST(starts == 1U);
}

// Guards against a lease that is not renewed because a single hold was lost.
BOOST_AUTO_TEST_CASE(aLostHoldIsFollowedByOneWithoutALeaseAndTheNextAnswerByANewLease)
{
    granted_agent f;
    f.listNothing(5);
    const sched::worker_call lost = f.nextHold();
    f.subject.onReply(lost, {}, f.now);
    f.now += milliseconds(1'000);
    f.grant();
    const sched::worker_call second = f.nextHold();
    BOOST_TEST(second.leaseUntilMs == 0);
    BOOST_TEST(second.waitMs == 0U);
    f.workerClockMs += 1'000;
    f.listNothing(5);
    BOOST_TEST(f.nextHold().leaseUntilMs > lost.leaseUntilMs);
}

// Guards against running a task again after its end, when the end was listed while no owner was
// connected and the worker left before the next owner connected.
BOOST_AUTO_TEST_CASE(endsThatAWorkerListedAreReportedAfterItHasLeft)
{
    granted_agent f;
    f.listNothing(5);
    f.subject.ownerClosed(f.now);
    f.subject.takeReports();
    sched::worker_listing listing;
    listing.startMs = 5;
    listing.ended.emplace_back();
    listing.ended.back().number = 1;
    listing.ended.back().task = "a.0.0.0";
    listing.ended.back().run = 1;
    f.list(listing);
    f.subject.workerLeft("w", f.now);
    sched::worker_reply gone;
    gone.kind = sched::worker_reply_kind::not_running;
    for (int i = 0; i < 2; ++i) {
        f.subject.onReply(f.nextHold(), gone, f.now);
        f.now += milliseconds(200);
    }
    sched::owner_hello hello;
    hello.epoch = 4;
    hello.termMs = 5'500;
    BOOST_TEST(f.subject.ownerOpened(hello, f.now));
    f.subject.tick(f.now);
    const auto reports = f.subject.takeReports();
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.front().lapsed);
    BOOST_REQUIRE(reports.front().ended.size() == 1U);
    BOOST_TEST(reports.front().ended.front()->task == "a.0.0.0");
}

// Guards against an owner that takes a worker for fenced that has only answered an earlier owner.
BOOST_AUTO_TEST_CASE(theFenceIsReportedOnceTheWorkerHasListedItsRunsUnderIt)
{
    granted_agent f;
    const auto reportedFence = [&f] {
        f.now += milliseconds(1'000);
        f.subject.tick(f.now);
        return f.subject.takeReports().back().workerFence;
    };
    BOOST_TEST(reportedFence() == 3U); // it has listed them to confirm its incarnation
    f.listNothing(5);
    BOOST_TEST(reportedFence() == 3U);
    sched::owner_hello hello;
    hello.epoch = 4;
    hello.termMs = 5'500;
    BOOST_TEST(f.subject.ownerOpened(hello, f.now));
    f.listNothing(5); // answers a hold of the earlier owner
    BOOST_TEST(reportedFence() == 3U);
    f.listNothing(5);
    BOOST_TEST(reportedFence() == 4U);
    f.info.startMs = 6;
    f.subject.workerAnnounced({ .info = f.info }, f.now);
    f.subject.tick(f.now);
    sched::worker_call identify;
    for (const sched::worker_call &call : f.subject.takeCalls()) {
        if (call.kind == sched::worker_call_kind::identify)
            identify = call;
        else if (call.kind == sched::worker_call_kind::hold)
            f.lastHold = call;
    }
    BOOST_TEST(identify.fence == 4U);
    hello.epoch = 5;
    BOOST_TEST(f.subject.ownerOpened(hello, f.now));
    f.listNothing(5);
    f.listNothing(5);
    BOOST_TEST(reportedFence() == 5U);
    f.subject.onReply(identify, test::emptyListing(6, 10), f.now);
    BOOST_TEST(reportedFence() == 4U); // nothing of the last incarnation remains
}

BOOST_AUTO_TEST_SUITE_END()
