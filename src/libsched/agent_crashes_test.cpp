#include "agent_test_support.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <utility>

using namespace plantainpitch;
using sched::worker_reply_kind;
using std::chrono::milliseconds;

namespace {

/// An agent whose worker has listed no runs yet, and which has a grant of its owner.
class crash_fixture
{
public:
    crash_fixture()
    {
        info.id = "w";
        info.service = "pool";
        info.ready = true;
        connectOwner(3);
        announce(5);
        grant();
        answerHold(5);
        reported();
    }

    /// Announces an incarnation, which the worker confirms.
    void announce(std::uint64_t startMs)
    {
        info.startMs = startMs;
        subject.workerAnnounced({ .info = info, .sequence = ++m_announcements }, now);
        sendHold();
        const auto question = std::exchange(m_identify, std::nullopt);
        BOOST_TEST(question.has_value() != (m_answeredStartMs == startMs));
        if (question)
            subject.onReply(*question, test::emptyListing(startMs, 1'000), now);
    }

    void announceDraining()
    {
        info.ready = false;
        subject.workerAnnounced({ .info = info, .sequence = ++m_announcements }, now);
    }

    void connectOwner(std::uint64_t epoch)
    {
        sched::owner_hello hello;
        hello.epoch = epoch;
        hello.termMs = 5'500;
        BOOST_TEST(subject.ownerOpened(hello, now));
    }

    void grant()
    {
        sched::agent_orders orders;
        orders.grantedUs = now.time_since_epoch().count();
        subject.onOrders(orders, now);
    }

    void orderStart(const std::string &task, std::uint32_t run = 1)
    {
        sched::agent_orders orders;
        orders.number = ++m_orders;
        orders.workerStartMs = info.startMs;
        orders.starts.push_back(std::make_unique<sched::start_order>());
        orders.starts.back()->task = task;
        orders.starts.back()->run = run;
        subject.onOrders(orders, now);
        takeCalls();
    }

    void replyToStart(worker_reply_kind kind)
    {
        BOOST_REQUIRE(m_start);
        sched::worker_reply reply;
        reply.kind = kind;
        subject.onReply(*std::exchange(m_start, std::nullopt), reply, now);
        takeCalls();
    }

    /// Sends the next hold, unless one is on its way.
    void sendHold()
    {
        subject.tick(now);
        takeCalls();
    }

    /// Answers the hold that is on its way with the runs on incarnation \a startMs.
    void answerHold(std::uint64_t startMs, const std::vector<std::string> &tasks = {})
    {
        sched::worker_reply reply;
        reply.kind = worker_reply_kind::accepted;
        reply.clockMs = 1'000;
        reply.listing.emplace();
        reply.listing->startMs = startMs;
        m_answeredStartMs = startMs;
        for (const std::string &task : tasks) {
            sched::run_status &status = reply.listing->running.emplace_back();
            status.task = task;
            status.run = 1;
        }
        reply.kind = worker_reply_kind::accepted;
        replyToHold(reply);
    }

    void failHold(worker_reply_kind kind)
    {
        sched::worker_reply reply;
        reply.kind = kind;
        replyToHold(reply);
    }

    /// The worker's process ends: the hold breaks, and later connections are refused.
    void endProcess()
    {
        failHold(worker_reply_kind::unanswered);
        refuseTwice();
    }

    void refuseTwice()
    {
        for (int i = 0; i < 2; ++i) {
            now += milliseconds(150);
            failHold(worker_reply_kind::not_running);
        }
    }

    /// Holds time out until the leases have ended.
    void beSilentUntilTheLeasesEnd()
    {
        sendHold();
        for (int i = 0; i < 5; ++i) {
            now += milliseconds(1'500);
            failHold(worker_reply_kind::unanswered);
            now += milliseconds(150);
            sendHold();
        }
    }

    /// Crashes that the next reports name.
    std::vector<sched::worker_crash> reported()
    {
        subject.tick(now);
        takeCalls();
        std::vector<sched::worker_crash> result;
        for (const sched::agent_report &report : subject.takeReports()) {
            for (const auto &crash : report.crashes)
                result.push_back(*crash);
        }
        return result;
    }

    /// Whether the next report says that the runs of the worker are gone.
    bool reportsLapsed()
    {
        subject.tick(now);
        takeCalls();
        const auto reports = subject.takeReports();
        return !reports.empty() && reports.back().lapsed;
    }

    /// Ages of the runs of the only crash that the next reports name, by task.
    std::map<std::string, std::int32_t> reportedAges()
    {
        const auto crashes = reported();
        std::map<std::string, std::int32_t> ages;
        BOOST_TEST(crashes.size() == 1U);
        for (const auto &crash : crashes) {
            for (const auto &run : crash.runs)
                ages[run->task] = run->ageMs;
        }
        return ages;
    }

    instant now{ milliseconds(1'000'000) };
    sched::worker_info info;
    sched::agent subject{ { .node = "n" } };

private:
    void takeCalls()
    {
        for (const sched::worker_call &call : subject.takeCalls()) {
            if (call.kind == sched::worker_call_kind::hold)
                m_hold = call;
            else if (call.kind == sched::worker_call_kind::start)
                m_start = call;
            else if (call.kind == sched::worker_call_kind::identify)
                m_identify = call;
        }
    }

    void replyToHold(const sched::worker_reply &reply)
    {
        sendHold();
        BOOST_REQUIRE(m_hold);
        subject.onReply(*std::exchange(m_hold, std::nullopt), reply, now);
        takeCalls();
    }

    std::uint64_t m_orders = 0;
    std::uint64_t m_announcements = 0;
    std::uint64_t m_answeredStartMs = 0; ///< incarnation that has answered the last hold
    std::optional<sched::worker_call> m_hold;
    std::optional<sched::worker_call> m_start;
    std::optional<sched::worker_call> m_identify;
};

using ages = std::map<std::string, std::int32_t>;

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(ages)

BOOST_FIXTURE_TEST_SUITE(agent_crashes, crash_fixture)

// Guards against suspecting a run that had been at work for long, or not the one that had just
// begun.
BOOST_AUTO_TEST_CASE(agesAreMeasuredToTheEndOfTheConnection)
{
    sendHold();
    orderStart("old.0.0.0");
    now += milliseconds(365);
    orderStart("new.0.0.0");
    now += milliseconds(35);
    endProcess();
    const auto crashes = reported();
    BOOST_REQUIRE(crashes.size() == 1U);
    BOOST_TEST(crashes[0].worker == "w");
    BOOST_TEST(crashes[0].startMs == 5U);
    BOOST_TEST(crashes[0].msAgo == 300U);
    BOOST_REQUIRE(crashes[0].runs.size() == 2U);
    BOOST_TEST(crashes[0].runs[0]->task == "new.0.0.0");
    BOOST_TEST(crashes[0].runs[0]->run == 1U);
    BOOST_TEST(crashes[0].runs[0]->ageMs == 35);
    BOOST_TEST(crashes[0].runs[1]->task == "old.0.0.0");
    BOOST_TEST(crashes[0].runs[1]->ageMs == 400);
}

// Guards against the time-out of a hold that is taken for a sign of life: the run would seem to
// have been at work for a second and a half.
BOOST_AUTO_TEST_CASE(agesOfRunsOnASilentWorkerAreMeasuredToItsLastAnswer)
{
    orderStart("a.0.0.0");
    now += milliseconds(100);
    answerHold(5);
    now += milliseconds(20);
    orderStart("b.0.0.0");
    sendHold();
    now += milliseconds(1'500);
    failHold(worker_reply_kind::unanswered);
    refuseTwice();
    BOOST_TEST((reportedAges() == ages{ { "a.0.0.0", 100 }, { "b.0.0.0", -20 } }));
}

// Guards against evidence that ends with the connection to an owner.
BOOST_AUTO_TEST_CASE(aCrashIsReportedAgainToEachNewOwner)
{
    orderStart("a.0.0.0");
    now += milliseconds(35);
    endProcess();
    BOOST_TEST(reported().size() == 1U);
    now += milliseconds(600);
    BOOST_TEST(reported().empty());
    subject.ownerClosed(now);
    now += milliseconds(3'000);
    connectOwner(4);
    subject.tick(now);
    auto reports = subject.takeReports();
    BOOST_REQUIRE(!reports.empty());
    BOOST_REQUIRE(reports.front().crashes.size() == 1U);
    BOOST_TEST(reports.front().crashes[0]->msAgo == 3'900U);
    subject.ownerClosed(now);
    now += milliseconds(30'000);
    connectOwner(5);
    BOOST_TEST(reported().empty());
}

BOOST_AUTO_TEST_CASE(aCrashWithoutAnOwnerIsInTheFirstReportToTheNext)
{
    orderStart("a.0.0.0");
    now += milliseconds(35);
    subject.ownerClosed(now);
    endProcess();
    BOOST_TEST(reported().empty());
    connectOwner(4);
    subject.tick(now);
    const auto reports = subject.takeReports();
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.front().crashes.size() == 1U);
}

// Guards against suspecting tasks of workers that are shut down or out of reach.
BOOST_AUTO_TEST_CASE(theAnnouncedEndOfAWorkerIsNoCrash)
{
    orderStart("a.0.0.0");
    announceDraining();
    endProcess();
    BOOST_TEST(reported().empty());
    info.ready = true;
    announce(6);
    BOOST_TEST(reported().empty());
}

BOOST_AUTO_TEST_CASE(aWorkerThatLeavesHasNotCrashed)
{
    orderStart("a.0.0.0");
    subject.workerLeft("w", now);
    endProcess();
    announce(6);
    BOOST_TEST(reported().empty());
}

// Guards against a crash that is reported because the end of the connection was read before the
// announcement that preceded it.
BOOST_AUTO_TEST_CASE(aWorkerThatLeavesAsItsConnectionEndsHasNotCrashed)
{
    orderStart("a.0.0.0");
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(50);
    subject.workerLeft("w", now);
    refuseTwice();
    announce(6);
    BOOST_TEST(reported().empty());
}

// Guards against crashes that are not counted because another writer has announced the end of the
// crashed worker: soak seed 47002.
BOOST_AUTO_TEST_CASE(anEndThatIsAnnouncedAfterACrashDoesNotHideIt)
{
    orderStart("a.0.0.0");
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(500);
    subject.workerLeft("w", now);
    now += milliseconds(2'000);
    answerHold(6);
    const auto crashes = reported();
    BOOST_REQUIRE(crashes.size() == 1U);
    BOOST_TEST(crashes[0].startMs == 5U);
    BOOST_TEST(crashes[0].runs.size() == 1U);
}

// Guards against the same with a claim of another writer in a heartbeat.
BOOST_AUTO_TEST_CASE(aDrainThatIsAnnouncedAfterACrashDoesNotHideIt)
{
    orderStart("a.0.0.0");
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(500);
    announceDraining();
    refuseTwice();
    BOOST_TEST(reported().size() == 1U);
}

BOOST_AUTO_TEST_CASE(silenceIsNoCrashIfTheSameIncarnationAnswersAgain)
{
    orderStart("a.0.0.0");
    beSilentUntilTheLeasesEnd();
    BOOST_TEST(subject.runs() == 0U);
    answerHold(5);
    BOOST_TEST(reported().empty());
    grant();
    orderStart("b.0.0.0");
    now += milliseconds(35);
    endProcess();
    BOOST_TEST((reportedAges() == ages{ { "b.0.0.0", 35 } }));
}

// Guards against a task that freezes its worker until the worker is restarted: its run had lapsed
// before, so that nothing counted.
BOOST_AUTO_TEST_CASE(silenceIsACrashOnceAnotherIncarnationAnnouncesItself)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(50);
    answerHold(5, { "a.0.0.0" });
    const instant answered = now;
    beSilentUntilTheLeasesEnd();
    BOOST_TEST(subject.runs() == 0U);
    BOOST_TEST(reported().empty());
    announce(6);
    const auto crashes = reported();
    BOOST_REQUIRE(crashes.size() == 1U);
    BOOST_TEST(crashes[0].startMs == 5U);
    BOOST_REQUIRE(crashes[0].runs.size() == 1U);
    BOOST_TEST(crashes[0].runs[0]->ageMs == 50);
    const auto silence = std::chrono::duration_cast<milliseconds>(now - answered).count();
    BOOST_TEST(crashes[0].msAgo == silence - 1'500);
}

BOOST_AUTO_TEST_CASE(silenceIsACrashOnceAnotherIncarnationAnswers)
{
    orderStart("a.0.0.0");
    beSilentUntilTheLeasesEnd();
    answerHold(6);
    BOOST_TEST(reported().size() == 1U);
    announce(6);
    BOOST_TEST(reported().empty());
}

BOOST_AUTO_TEST_CASE(silenceIsACrashOnceConnectionsAreRefused)
{
    orderStart("a.0.0.0");
    beSilentUntilTheLeasesEnd();
    refuseTwice();
    BOOST_TEST(reported().size() == 1U);
    now += milliseconds(150);
    failHold(worker_reply_kind::not_running);
    BOOST_TEST(reported().empty());
}

BOOST_AUTO_TEST_CASE(anIncarnationThatAnnouncesItselfWithoutNoticeFollowsACrash)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(35);
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(100);
    announce(6);
    const auto crashes = reported();
    BOOST_REQUIRE(crashes.size() == 1U);
    BOOST_TEST(crashes[0].startMs == 5U);
    BOOST_TEST(crashes[0].msAgo == 100U);
    BOOST_TEST(crashes[0].runs[0]->ageMs == 35);
}

// Guards against an answer of the next incarnation that is taken for a sign of life of the crashed
// one: the run that had crashed the worker seemed to have been at work for longer than it was.
BOOST_AUTO_TEST_CASE(theAnswerOfTheNextIncarnationDoesNotAgeTheRuns)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(35);
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(150);
    failHold(worker_reply_kind::not_running);
    now += milliseconds(400);
    answerHold(6);
    const auto crashes = reported();
    BOOST_REQUIRE(crashes.size() == 1U);
    BOOST_TEST(crashes[0].startMs == 5U);
    BOOST_TEST(crashes[0].msAgo == 550U);
    BOOST_TEST(crashes[0].runs[0]->ageMs == 35);
    announce(6);
    BOOST_TEST(reported().empty());
}

// A start may have reached the next incarnation, so that its answer proves nothing about this one.
BOOST_AUTO_TEST_CASE(theAnswerToAStartDoesNotAgeTheRuns)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(35);
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(700);
    orderStart("b.0.0.0");
    replyToStart(worker_reply_kind::accepted);
    answerHold(6);
    const auto reportedRuns = reportedAges();
    BOOST_TEST(reportedRuns.at("a.0.0.0") == 35);
    BOOST_TEST(reportedRuns.at("b.0.0.0") < 0);
}

// Guards against a task that crashes the worker so early that the worker never answers its start.
BOOST_AUTO_TEST_CASE(aStartWithoutAnswerIsAmongTheRunsOfACrash)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(2);
    replyToStart(worker_reply_kind::unanswered);
    endProcess();
    BOOST_TEST((reportedAges() == ages{ { "a.0.0.0", 2 } }));
}

BOOST_AUTO_TEST_CASE(aStartThatReachedNoWorkerIsNotAmongTheRunsOfACrash)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(35);
    failHold(worker_reply_kind::unanswered);
    orderStart("b.0.0.0");
    replyToStart(worker_reply_kind::not_running);
    refuseTwice();
    BOOST_TEST((reportedAges() == ages{ { "a.0.0.0", 35 } }));
}

BOOST_AUTO_TEST_CASE(theAgeOfAnAdoptedRunBeginsWithItsAdoption)
{
    answerHold(5, { "a.0.0.0" });
    sendHold();
    now += milliseconds(600);
    endProcess();
    BOOST_TEST((reportedAges() == ages{ { "a.0.0.0", 600 } }));
}

BOOST_AUTO_TEST_CASE(aCrashWithoutRunsIsNotReported)
{
    sendHold();
    now += milliseconds(35);
    endProcess();
    announce(6);
    BOOST_TEST(reported().empty());
}

// Guards against runs that count as running for ever because their worker answers after a restart
// but never announces itself.
BOOST_AUTO_TEST_CASE(theRunsOfARestartedWorkerThatDoesNotAnnounceItselfLapse)
{
    sendHold();
    orderStart("a.0.0.0");
    now += milliseconds(3'000);
    failHold(worker_reply_kind::unanswered);
    now += milliseconds(150);
    answerHold(6);
    // The next incarnation may have received the start just before it answered, and have taken its
    // lease for one of the longest span, 6 s by a clock that is 2 % slow.
    now += milliseconds(6'120);
    BOOST_TEST(!reportsLapsed());
    now += milliseconds(480); // the margin for late notice
    BOOST_TEST(reportsLapsed());
    announce(6);
    answerHold(6);
    BOOST_TEST(!reportsLapsed());
}

// Guards against a report of a lapsed worker that precedes the evidence: the owner starts the runs
// elsewhere when it hears that their worker is gone.
BOOST_AUTO_TEST_CASE(theReportOfALostWorkerNamesItsCrash)
{
    orderStart("a.0.0.0");
    now += milliseconds(35);
    endProcess();
    subject.tick(now);
    for (const sched::agent_report &report : subject.takeReports()) {
        if (!report.lapsed)
            continue;
        BOOST_TEST(report.crashes.size() == 1U);
        break;
    }
}

BOOST_AUTO_TEST_SUITE_END()
