#include "test_cell.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using plantainpitch::test::test_cell;

namespace {

const task_id first{ .job = "j", .index = 0 };

std::string phaseOf(const test_cell &cell, const task_id &task = first)
{
    return toString(cell.get(task).phase);
}

} // namespace

// Guards against two agents that both believe to hold a task after a race for it.
BOOST_AUTO_TEST_CASE(onlyOneOfTwoClaimsOnTheSameBaseIsAccepted)
{
    test_cell cell;
    const log_position base = cell.submit("j").position;
    const fold_result winner = cell.claim(first, "vm1", base);
    const fold_result loser = cell.claim(first, "vm2", base);
    BOOST_TEST(winner.accepted);
    BOOST_TEST(!loser.accepted);
    BOOST_TEST(!loser.reason.empty());
    BOOST_TEST((loser.current == winner.position));
    BOOST_TEST(cell.get(first).vm == "vm1");
    BOOST_TEST((cell.get(first).attempt == winner.position));
    BOOST_TEST((cell.state.tasksHeldBy("vm1") == std::vector<task_id>{ first }));
    BOOST_TEST(cell.state.tasksHeldBy("vm2").empty());
    BOOST_TEST(cell.state.unplacedTasks().empty());
}

// Guards against a proposal that was made before a release and so does not know the checkpoint.
BOOST_AUTO_TEST_CASE(claimOnAnOldBaseIsRefusedAfterARelease)
{
    test_cell cell;
    const log_position base = cell.submit("j").position;
    const log_position attempt = cell.claim(first, "vm1", base).position;
    BOOST_TEST(cell.release(first, attempt, release_reason::evicted, "ck1").accepted);
    BOOST_TEST(!cell.claim(first, "vm2", base).accepted);
    BOOST_TEST(cell.get(first).checkpoint == "ck1");
    BOOST_TEST(cell.claim(first, "vm2", cell.get(first).lastChange).accepted);
    // A release without a checkpoint must not lose the one before.
    BOOST_TEST(cell.release(first, cell.get(first).attempt, release_reason::evicted).accepted);
    BOOST_TEST(cell.get(first).checkpoint == "ck1");
}

// Guards against a move that leaves the task with its old holder, or in both indexes.
BOOST_AUTO_TEST_CASE(taskMovesAfterARevocation)
{
    test_cell cell;
    cell.submit("j");
    const log_position attempt = cell.claimNow(first, "vm1");
    const fold_result revoked = cell.put(task_revoked{ .task = first, .attempt = attempt });
    BOOST_TEST(phaseOf(cell) == "revoking");
    BOOST_TEST(cell.state.unplacedTasks().size() == 1U);
    BOOST_TEST(cell.state.tasksHeldBy("vm1").size() == 1U);
    BOOST_TEST(!cell.claim(first, "vm2", attempt).accepted);
    BOOST_TEST(cell.claim(first, "vm2", revoked.position).accepted);
    BOOST_TEST(cell.state.unplacedTasks().empty());
    BOOST_TEST(cell.state.tasksHeldBy("vm1").empty());
    BOOST_TEST(cell.state.tasksHeldBy("vm2").size() == 1U);
    // What the old holder still says about its attempt has no effect.
    BOOST_TEST(!cell.release(first, attempt, release_reason::revoked, "old").accepted);
    BOOST_TEST(!cell.put(task_finished{ .task = first, .attempt = attempt }).accepted);
    BOOST_TEST(!cell.put(task_revoked{ .task = first, .attempt = attempt }).accepted);
    BOOST_TEST(cell.get(first).vm == "vm2");
    BOOST_TEST(cell.get(first).checkpoint.empty());
}

// Guards against an answer "refused" to an agent that repeats a record through another entry.
BOOST_AUTO_TEST_CASE(repeatedRecordsAreAcceptedWithoutChange)
{
    test_cell cell;
    const log_position base = cell.submit("j").position;
    const log_position attempt = cell.claim(first, "vm1", base).position;
    const auto repeat = [&](const log_record &record) {
        const task_state before = cell.get(first);
        BOOST_TEST(cell.put(record).accepted);
        BOOST_TEST((cell.get(first) == before));
    };
    repeat(task_claimed{ first, "vm1", 7, "boot-vm1", base });
    BOOST_TEST(!cell.put(task_claimed{ first, "vm1", 8, "boot-vm1", base }).accepted);
    cell.put(task_revoked{ .task = first, .attempt = attempt });
    repeat(task_revoked{ .task = first, .attempt = attempt });
    cell.release(first, attempt, release_reason::task_failed);
    repeat(task_released{ first, attempt, "", release_reason::task_failed });
    const log_position second = cell.claimNow(first, "vm1");
    repeat(task_released{ first, attempt, "", release_reason::task_failed });
    cell.put(task_finished{ .task = first, .attempt = second, .result = "r" });
    repeat(task_finished{ .task = first, .attempt = second, .result = "other" });
    BOOST_TEST(cell.get(first).result == "r");
    BOOST_TEST(cell.get(first).failures == 1U);
}

// Guards against a restarted agent that takes over a task which another boot or VM may run.
BOOST_AUTO_TEST_CASE(adoptionNeedsTheSameVmAndWorkerBoot)
{
    test_cell cell;
    cell.submit("j");
    const log_position attempt = cell.claimNow(first, "vm1");
    const task_adopted adoption{ first, attempt, "vm1", 8, "boot-vm1" };
    BOOST_TEST(!cell.put(task_adopted{ first, attempt, "vm1", 8, "later boot" }).accepted);
    BOOST_TEST(!cell.put(task_adopted{ first, attempt, "vm2", 8, "boot-vm1" }).accepted);
    BOOST_TEST(!cell.put(task_adopted{ first, {}, "vm1", 8, "boot-vm1" }).accepted);
    BOOST_TEST(cell.put(adoption).accepted);
    BOOST_TEST(cell.get(first).agent == 8U);
    BOOST_TEST((cell.get(first).attempt == attempt));
    cell.put(task_revoked{ .task = first, .attempt = attempt });
    BOOST_TEST(!cell.put(adoption).accepted);
}

// Guards against a cancelled job whose tasks come back as pending, or that stops a held task early.
BOOST_AUTO_TEST_CASE(cancellationReachesEveryTaskOnce)
{
    test_cell cell;
    cell.submit("j", 5);
    std::vector<log_position> attempts(5);
    for (std::uint32_t i = 0; i < 4; ++i)
        attempts[i] = cell.claimNow({ .job = "j", .index = i }, "vm1");
    cell.put(task_revoked{ .task = { .job = "j", .index = 3 }, .attempt = attempts[3] });
    BOOST_TEST(!cell.put(job_cancelled{ .job = "other" }).accepted);
    BOOST_TEST(cell.put(job_cancelled{ .job = "j" }).accepted);
    BOOST_TEST(cell.put(job_cancelled{ .job = "j" }).accepted);
    BOOST_TEST(phaseOf(cell, { .job = "j", .index = 4 }) == "cancelled");
    BOOST_TEST(phaseOf(cell) == "claimed");
    cell.release(first, attempts[0], release_reason::cancelled);
    BOOST_TEST(phaseOf(cell) == "cancelled");
    const task_id second{ .job = "j", .index = 1 };
    cell.put(task_finished{ .task = second, .attempt = attempts[1] });
    BOOST_TEST(phaseOf(cell, second) == "finished");
    // The holder of the third is lost: revoked, then ended by an entry.
    const task_id third{ .job = "j", .index = 2 };
    cell.put(task_revoked{ third, attempts[2], "" });
    BOOST_TEST(cell.put(task_failed{ third, cell.get(third).lastChange, "lost" }).accepted);
    BOOST_TEST(phaseOf(cell, third) == "cancelled");
    BOOST_TEST(cell.state.findJob("j")->openTasks == 1U);
    cell.release({ .job = "j", .index = 3 }, attempts[3], release_reason::cancelled);
    BOOST_TEST(cell.state.findJob("j")->openTasks == 0U);
    BOOST_TEST(cell.state.unplacedTasks().empty());
    BOOST_TEST(cell.state.tasksHeldBy("vm1").empty());
}

// Guards against failure counts that miss failures or take evictions for them.
BOOST_AUTO_TEST_CASE(onlyFailuresCountAndTheirVmsAreDistinct)
{
    test_cell cell;
    cell.submit("j");
    const auto runOn = [&](const std::string &vm, release_reason reason) {
        cell.release(first, cell.claimNow(first, vm), reason);
    };
    runOn("vm1", release_reason::task_failed);
    runOn("vm1", release_reason::start_failed);
    runOn("vm2", release_reason::task_failed);
    runOn("vm3", release_reason::evicted);
    runOn("vm3", release_reason::worker_rebooted);
    BOOST_TEST(cell.get(first).failures == 3U);
    BOOST_TEST(cell.get(first).attempts == 5U);
    BOOST_TEST((cell.get(first).failedVms == std::vector<std::string>{ "vm1", "vm2" }));
    for (int i = 0; i < 20; ++i)
        runOn("other" + std::to_string(i), release_reason::task_failed);
    BOOST_TEST(cell.get(first).failedVms.size() == 8U);
}

// Guards against ending a task that was claimed in the meantime, and against life after the end.
BOOST_AUTO_TEST_CASE(failureIsFinalAndNeedsTheLastChange)
{
    test_cell cell;
    const log_position base = cell.submit("j").position;
    const log_position attempt = cell.claimNow(first, "vm1");
    BOOST_TEST(!cell.put(task_failed{ .task = first, .base = base }).accepted);
    cell.release(first, attempt, release_reason::task_failed);
    BOOST_TEST(!cell.put(task_failed{ .task = first, .base = base }).accepted);
    BOOST_TEST(cell.put(task_failed{ first, cell.get(first).lastChange, "why" }).accepted);
    BOOST_TEST(phaseOf(cell) == "failed");
    BOOST_TEST(cell.get(first).result == "why");
    BOOST_TEST(!cell.claim(first, "vm2", cell.get(first).lastChange).accepted);
    BOOST_TEST(!cell.put(task_finished{ .task = first, .attempt = attempt }).accepted);
}

// Guards against records about unknown work that create state, and against jobs of any size.
BOOST_AUTO_TEST_CASE(unknownAndOutOfRangeWorkIsRefused)
{
    test_cell cell;
    BOOST_TEST(!cell.submit("", 1).accepted);
    BOOST_TEST(!cell.submit("j", 0).accepted);
    BOOST_TEST(!cell.submit("j", job_submitted::maxTaskCount + 1).accepted);
    BOOST_TEST(cell.state.jobs().empty());
    BOOST_TEST(cell.submit("j").accepted);
    BOOST_TEST(!cell.submit("j").accepted);
    const task_id beyond{ .job = "j", .index = 1 };
    BOOST_TEST(!cell.claim(beyond, "vm1", {}).accepted);
    BOOST_TEST(!cell.release(beyond, {}, release_reason::evicted).accepted);
    // A task that was never claimed has no attempt; a record without one must not match that.
    BOOST_TEST(!cell.release(first, {}, release_reason::evicted).accepted);
    BOOST_TEST(!cell.put(task_finished{ .task = first }).accepted);
    BOOST_TEST(!cell.put(config_change{}).accepted);
    BOOST_TEST(phaseOf(cell) == "pending");
}
