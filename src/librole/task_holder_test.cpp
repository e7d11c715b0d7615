#include "plantainpitch/role/task_holder.h"

#include "task_holder_fakes_test.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const task_id task{ .job = "job", .index = 0 };
constexpr connection_id proposer = 7;

/// A holder with a worker and a log that answer immediately, unless a test drops calls, drops
/// answers or takes the log down.
struct fixture
{
    fixture()
    {
        log.add(task);
        restart();
        run(milliseconds(100));
    }

    void restart()
    {
        holder = std::make_unique<task_holder>(
                task_holder_options{ .vm = "vm", .agent = ++agent, .longestTerm = seconds(10) },
                agent);
        holder->onGateway(now, 1);
    }

    void propose(bool afterRevocation = false, duration age = {})
    {
        holder->onProposal(now, proposer,
                           { .task = task,
                             .job = { .job = "job",
                                      .taskResources = { .processorsMilli = 1000 },
                                      .authorityTermMs = 10'000 },
                             .base = log.tasks[task].lastChange,
                             .checkpoint = log.tasks[task].checkpoint,
                             .afterRevocation = afterRevocation,
                             .revocationAgeUs = age.count() });
    }

    void run(duration length)
    {
        for (const instant end = now + length; now < end;) {
            now += milliseconds(50);
            worker.advance(50'000);
            holder->tick(now);
            deliver();
        }
    }

    void deliver()
    {
        for (action_list outputs = holder->takeActions(); !outputs.empty();
             outputs = holder->takeActions()) {
            for (const action &output : outputs)
                perform(output);
        }
    }

    void perform(const action &output)
    {
        if (const auto *call = std::get_if<worker_call>(&output)) {
            calls.push_back(*call);
            if (!dropCalls.contains(call->operation)) {
                const worker_answer answer = worker.execute(*call);
                if (!dropAnswers.contains(call->operation))
                    holder->onWorkerAnswer(now, answer);
            }
        } else if (const auto *sent = std::get_if<send_message>(&output)) {
            if (const auto *submit = std::get_if<record_submit>(&sent->content)) {
                submits.push_back(*submit);
                if (logUp)
                    holder->onRecordSettled(now, log.append(submit->ticket, submit->record));
            } else if (const auto *request = std::get_if<authority_request>(&sent->content)) {
                if (logUp)
                    holder->onAuthorityGrant(now, log.grant(*request));
                lastRequest = *request;
            } else if (const auto *refused = std::get_if<proposal_refused>(&sent->content)) {
                refusals.push_back(refused->reason);
            }
        }
    }

    [[nodiscard]] std::string phase() { return log.tasks[task].phase; }
    [[nodiscard]] std::size_t count(worker_operation operation) const
    {
        return static_cast<std::size_t>(
                std::count_if(calls.begin(), calls.end(),
                              [&](const auto &call) { return call.operation == operation; }));
    }

    instant now{ seconds(100) };
    fake_worker worker;
    fake_log log;
    std::uint64_t agent = 0;
    std::unique_ptr<task_holder> holder;
    std::vector<worker_call> calls;
    std::vector<record_submit> submits;
    std::vector<std::string> refusals;
    authority_request lastRequest;
    std::set<worker_operation> dropCalls;
    std::set<worker_operation> dropAnswers;
    bool logUp = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(holder, fixture)

// Guards against a start before the claim is settled.
BOOST_AUTO_TEST_CASE(startsOnlyAfterTheClaimIsSettled)
{
    logUp = false;
    propose();
    run(seconds(1));
    BOOST_TEST(worker.starts.empty());
    BOOST_TEST(holder->available().processorsMilli == 3000);
    holder->onRecordSettled(now, log.append(submits.back().ticket, submits.back().record));
    deliver();
    BOOST_TEST(worker.runsTask(task));
}

// Guards against a start on a claim that was settled too late in its authority term.
BOOST_AUTO_TEST_CASE(lateSettlementNeedsNewAuthority)
{
    logUp = false;
    propose();
    run(seconds(9));
    holder->onRecordSettled(now, log.append(submits.back().ticket, submits.back().record));
    deliver();
    BOOST_TEST(worker.starts.empty());
    logUp = true;
    run(seconds(3));
    BOOST_TEST(worker.runsTask(task));
}

// Guards against a claim that is lost because it was submitted only through a failed entry.
BOOST_AUTO_TEST_CASE(claimIsSubmittedAgainThroughANewGateway)
{
    logUp = false;
    propose();
    run(milliseconds(100));
    logUp = true;
    holder->onGateway(now, 2);
    deliver();
    BOOST_TEST(submits.size() == 2U);
    BOOST_TEST(submits[0].ticket == submits[1].ticket);
    BOOST_TEST(worker.runsTask(task));
}

// Guards against a reservation that is kept after another VM won the claim.
BOOST_AUTO_TEST_CASE(refusedClaimGivesTheRoomBack)
{
    logUp = false;
    propose();
    run(milliseconds(100));
    log.append(0, task_claimed{ .task = task, .vm = "other", .base = log.tasks[task].lastChange });
    holder->onRecordSettled(now, log.append(submits.back().ticket, submits.back().record));
    BOOST_TEST(holder->taskCount() == 0U);
    BOOST_TEST(holder->available().processorsMilli == 4000);
}

// Guards against an authority term that starts at the arrival of a grant instead of its request.
BOOST_AUTO_TEST_CASE(authorityCountsFromTheRequest)
{
    worker.lengthMs = 100'000;
    propose();
    run(seconds(1));
    logUp = false;
    run(seconds(3));
    const instant sentAt = now; // at most the interval of 2 s later than the request
    const authority_grant grant = log.grant(lastRequest);
    run(seconds(3));
    holder->onAuthorityGrant(now, grant);
    deliver();
    run(milliseconds(500));
    const std::int64_t leaseLeftUs = worker.runs.at(task).entry.leaseUntilUs - worker.clockUs;
    BOOST_TEST(leaseLeftUs <= (sentAt + seconds(10) - now).count());
    BOOST_TEST(leaseLeftUs > 0);
}

// Guards against a lease that outlasts the authority because an old clock sample was used.
BOOST_AUTO_TEST_CASE(leaseEndsWithTheAuthority)
{
    propose();
    run(seconds(1));
    BOOST_TEST(worker.starts.at(0).leaseUntilUs <= 1'000'000 + 100'000 + 10'000'000);
}

// Guards against a log outage after which a task keeps running without confirmation, releases its
// claim or loses its progress.
BOOST_AUTO_TEST_CASE(outageStopsTheTaskAndKeepsTheClaim)
{
    worker.lengthMs = 15'000;
    propose();
    run(seconds(1));
    logUp = false;
    run(milliseconds(6500));
    BOOST_TEST(count(worker_operation::checkpoint) == 1U);
    BOOST_TEST(worker.runsTask(task));
    run(milliseconds(2500));
    BOOST_TEST(!worker.runsTask(task));
    BOOST_TEST(phase() == "claimed");
    logUp = true;
    run(seconds(4));
    BOOST_TEST(worker.runsTask(task));
    BOOST_TEST((worker.starts.at(1).attempt == worker.starts.at(0).attempt));
    BOOST_TEST(std::stoll(worker.starts.at(1).checkpoint) > 6000);
    BOOST_TEST((log.tasks[task].attempt == worker.starts.at(0).attempt));
}

// Guards against a revoked task that keeps running or is not released.
BOOST_AUTO_TEST_CASE(revokedTaskIsStoppedAndReleased)
{
    worker.lengthMs = 100'000;
    propose();
    run(seconds(3));
    log.append(0, task_revoked{ .task = task, .attempt = log.tasks[task].attempt });
    run(seconds(4));
    BOOST_TEST(!worker.runsTask(task));
    BOOST_TEST(phase() == "pending");
    BOOST_TEST((log.tasks[task].reason == release_reason::revoked));
    BOOST_TEST(std::stoll(log.tasks[task].checkpoint) > 2000);
    BOOST_TEST(worker.runs.empty()); // forgotten
}

// Guards against a cancelled task that is released with a different reason and so runs again.
BOOST_AUTO_TEST_CASE(cancelledTaskIsReleasedAsCancelled)
{
    worker.lengthMs = 100'000;
    propose();
    run(seconds(1));
    logUp = false;
    run(seconds(3));
    holder->onAuthorityGrant(
            now, { .nonce = lastRequest.nonce,
                   .withdrawn = { { task, log.tasks[task].attempt, withdrawal::cancelled } } });
    logUp = true;
    run(seconds(1));
    BOOST_TEST((log.tasks[task].reason == release_reason::cancelled));
}

// Guards against a claim before the authority of the previous holder has ended.
BOOST_AUTO_TEST_CASE(claimAfterARevocationWaitsLessItsAge)
{
    propose(true, seconds(4));
    run(milliseconds(6600));
    BOOST_TEST(submits.empty());
    run(milliseconds(200));
    BOOST_TEST(submits.size() == 1U);
}

// Guards against a second start while an unanswered start may have taken effect.
BOOST_AUTO_TEST_CASE(lostStartAnswerCountsAsRunning)
{
    dropAnswers = { worker_operation::start };
    propose();
    run(milliseconds(2500));
    BOOST_TEST(worker.starts.size() == 1U);
    BOOST_TEST(holder->available().processorsMilli == 3000);
    run(seconds(12));
    BOOST_TEST(worker.starts.size() == 1U);
    BOOST_TEST(phase() == "finished");
}

// Guards against releasing a task while a lost start can still take effect.
BOOST_AUTO_TEST_CASE(lostStartIsReleasedOnlyAfterItsLease)
{
    dropCalls = { worker_operation::start };
    propose();
    run(seconds(3));
    holder->evict(now, task);
    run(seconds(5));
    BOOST_TEST(phase() == "claimed");
    BOOST_TEST(holder->available().processorsMilli == 3000);
    run(seconds(3));
    BOOST_TEST(phase() == "pending");
    const worker_call late = *std::find_if(calls.begin(), calls.end(), [](const auto &call) {
        return call.operation == worker_operation::start;
    });
    BOOST_TEST((worker.execute(late).result == worker_result::rejected));
}

// Guards against treating the answer to an old call as the answer to a newer one.
BOOST_AUTO_TEST_CASE(lateAnswerToAnOldCallIsIgnored)
{
    worker.lengthMs = 100'000;
    dropAnswers = { worker_operation::start };
    propose();
    run(seconds(3));
    const worker_answer late{ .callId = worker.starts.at(0).callId,
                              .operation = worker_operation::start,
                              .task = task,
                              .result = worker_result::rejected };
    holder->onWorkerAnswer(now, late);
    run(milliseconds(500));
    BOOST_TEST(phase() == "claimed");
    BOOST_TEST((log.tasks[task].reason != release_reason::start_failed));
}

// Guards against a rejected start that is not counted as a failure of the VM.
BOOST_AUTO_TEST_CASE(refusedStartIsReleasedAsFailure)
{
    worker.nextFailure = "no such command";
    propose();
    run(seconds(1));
    BOOST_TEST(phase() == "pending");
    BOOST_TEST((log.tasks[task].reason == release_reason::start_failed));
}

// Guards against results that are lost with a gateway, and finished tasks that stay listed on the
// worker.
BOOST_AUTO_TEST_CASE(resultIsSubmittedUntilSettledThenForgotten)
{
    propose();
    run(seconds(1));
    logUp = false;
    run(seconds(4));
    BOOST_TEST(std::holds_alternative<task_finished>(submits.back().record));
    BOOST_TEST(count(worker_operation::forget) == 0U);
    logUp = true;
    holder->onGateway(now, 2);
    run(milliseconds(500));
    BOOST_TEST(phase() == "finished");
    BOOST_TEST(worker.runs.empty());
    BOOST_TEST(holder->taskCount() == 0U);
}

// Guards against an eviction that loses the progress, or that reruns a finished task.
BOOST_AUTO_TEST_CASE(evictionNamesTheCheckpoint)
{
    propose();
    run(seconds(2));
    holder->evict(now, task);
    run(seconds(1));
    BOOST_TEST((log.tasks[task].reason == release_reason::evicted));
    BOOST_TEST(std::stoll(log.tasks[task].checkpoint) >= 1800);
    propose();
    run(milliseconds(1100));
    BOOST_TEST(worker.starts.back().checkpoint == log.tasks[task].claimCheckpoint);
    holder->evict(now, task); // finishes before the next list
    run(seconds(1));
    BOOST_TEST(phase() != "claimed");
}

// Guards against a drain that loses tasks or accepts new ones.
BOOST_AUTO_TEST_CASE(drainReleasesEverything)
{
    propose();
    run(seconds(1));
    holder->drain(now);
    BOOST_TEST(!holder->drained());
    run(seconds(1));
    BOOST_TEST(holder->drained());
    BOOST_TEST((log.tasks[task].reason == release_reason::drained));
    propose();
    deliver();
    BOOST_TEST(refusals.back() == "draining");
}

// Guards against tasks of an earlier agent process that are lost or started again.
BOOST_AUTO_TEST_CASE(newProcessAdoptsWhatTheWorkerRuns)
{
    worker.lengthMs = 12'000;
    propose();
    run(seconds(3));
    restart();
    run(seconds(3));
    BOOST_TEST(log.tasks[task].agent == agent);
    BOOST_TEST(worker.runsTask(task));
    run(seconds(25));
    BOOST_TEST(phase() == "finished");
    BOOST_TEST(worker.starts.size() == 1U);
}

// Guards against a claim on an earlier boot that blocks the task until it is revoked.
BOOST_AUTO_TEST_CASE(claimsOfAnOldBootAreReleasedAtOnce)
{
    propose();
    run(seconds(1));
    worker.reboot("boot-2");
    restart();
    run(seconds(3));
    BOOST_TEST((log.tasks[task].reason == release_reason::worker_rebooted));
    BOOST_TEST(phase() == "pending");
}

// Guards against releasing an inherited claim while a start of the earlier process may still
// arrive.
BOOST_AUTO_TEST_CASE(inheritedClaimThatIsNotListedWaits)
{
    dropCalls = { worker_operation::start };
    propose();
    run(milliseconds(200));
    restart();
    run(seconds(10));
    BOOST_TEST(phase() == "claimed");
    propose();
    deliver();
    BOOST_TEST(refusals.back() == "inherited_claims");
    run(milliseconds(1500));
    BOOST_TEST(phase() == "pending");
}

// Guards against a worker reboot that leaves the claim in place or counts as a task failure.
BOOST_AUTO_TEST_CASE(rebootReleasesRunningTasks)
{
    propose();
    run(seconds(1));
    worker.reboot("boot-2");
    run(milliseconds(1500));
    BOOST_TEST(phase() == "pending");
    BOOST_TEST((log.tasks[task].reason == release_reason::worker_rebooted));
    BOOST_TEST(holder->workerBoot() == "boot-2");
}

// Guards against unknown tasks that keep running, or whose resources count as available.
BOOST_AUTO_TEST_CASE(unknownTaskIsCountedAndStopped)
{
    logUp = false;
    worker.execute({ .operation = worker_operation::start,
                     .task = { .job = "stray" },
                     .attempt = { 5 },
                     .reserved = { .processorsMilli = 2500 },
                     .leaseUntilUs = 100'000'000 });
    worker.runs.begin()->second.lengthMs = 100'000;
    run(milliseconds(1200));
    BOOST_TEST(holder->available().processorsMilli == 1500);
    BOOST_TEST(worker.runsTask({ .job = "stray" })); // the log has not answered yet
    logUp = true;
    run(seconds(4));
    BOOST_TEST(worker.runs.empty());
    BOOST_TEST(holder->available().processorsMilli == 4000);
}

// Guards against a throttle that is not applied to tasks started later.
BOOST_AUTO_TEST_CASE(throttleReachesEveryTask)
{
    holder->throttle(now, 40);
    propose();
    run(seconds(1));
    BOOST_TEST(count(worker_operation::throttle) == 1U);
    const auto call = std::find_if(calls.begin(), calls.end(), [](const worker_call &entry) {
        return entry.operation == worker_operation::throttle;
    });
    BOOST_TEST(call->throttlePercent == 40U);
}

BOOST_AUTO_TEST_SUITE_END()
