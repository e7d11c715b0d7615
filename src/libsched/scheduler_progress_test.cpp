#include "fleet_model.h"
#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/job_limits.h"
#include "plantainpitch/sched/message_limits.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;
using test::requireNoViolations;

namespace {

constexpr std::size_t largestRecord = 262'144;
constexpr std::uint32_t manyTasks = 4'000;

std::size_t largestStored(const fleet_model &model)
{
    std::size_t largest = 0;
    for (const auto &[key, value] : model.stored)
        largest = std::max(largest, key.size() + value.size() + 1);
    return largest;
}

/// Keys of the progress records in the batch, in their order.
std::vector<std::string> progressKeys(const std::vector<sched::stored_record> &records)
{
    std::vector<std::string> keys;
    for (const sched::stored_record &record : records) {
        if (record.key.front() == 'p')
            keys.push_back(record.key);
    }
    return keys;
}

std::size_t progressRecords(const fleet_model &model, const std::string &id)
{
    return static_cast<std::size_t>(
            std::count_if(model.stored.begin(), model.stored.end(), [&id](const auto &record) {
                return record.first.rfind('p' + id, 0) == 0;
            }));
}

/// The progress of a job as earlier releases stored it: all tasks in one record.
std::string doneTasks(std::uint32_t count)
{
    sched::progress record;
    for (std::uint32_t index = 0; index < count; ++index) {
        auto task = std::make_unique<sched::task_progress>();
        task->index = index;
        task->phase = static_cast<std::uint8_t>(sched::task_phase::done);
        task->run = 1;
        record.tasks.push_back(std::move(task));
    }
    return sched::encodeProgress(record);
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_progress)

// Guards against a job whose progress is too long for a record of the store, so that nothing of any
// job is stored any more: review/4.
BOOST_AUTO_TEST_CASE(noRecordOfAJobOfManyTasksIsTooLongForTheStore)
{
    fleet_model model(3);
    model.run(1'000);
    model.send(model.submission("a", manyTasks, 2));
    std::size_t largest = 0;
    while (model.shown("a") != job_state::completed && model.timeMs < 1'030'000) {
        model.run(100);
        largest = std::max(largest, largestStored(model));
    }
    BOOST_TEST((model.shown("a") == job_state::completed));
    BOOST_TEST(largest > 0U);
    BOOST_TEST(largest <= largestRecord);
    BOOST_TEST(model.starts.size() == manyTasks);
    requireNoViolations(model);
}

// Guards against tasks that run again because a new owner does not load the further records.
BOOST_AUTO_TEST_CASE(theProgressOfManyTasksOutlivesTheOwner)
{
    fleet_model model(3);
    model.run(1'000);
    model.send(model.submission("a", 1'000, 30));
    for (int i = 0; i < 3; ++i) {
        model.run(400);
        BOOST_TEST(progressRecords(model, "a") > 1U);
        model.newOwner();
    }
    BOOST_TEST(model.runUntil("a", job_state::completed, 30'000));
    BOOST_TEST(model.starts.size() == 1'000U);
    requireNoViolations(model);
}

// Guards against records that stay in the store after their job.
BOOST_AUTO_TEST_CASE(endedJobsKeepOneProgressRecordAndRemovedJobsNone)
{
    fleet_model model(3);
    model.run(1'000);
    model.send(model.submission("a", 300, 30));
    BOOST_TEST(model.runUntil("a", job_state::completed, 30'000));
    BOOST_TEST(progressRecords(model, "a") == 1U);
    model.run(160'000);
    BOOST_TEST(progressRecords(model, "a") == 0U);
    BOOST_TEST(model.stored.count("ja") == 0U);
}

// Guards against an update of the release that runs tasks again: an earlier one stored all tasks of
// a job in one record.
BOOST_AUTO_TEST_CASE(aLongRecordOfAnEarlierReleaseIsLoadedAndSplit)
{
    constexpr std::uint32_t done = 400;
    fleet_model model(3);
    const auto submission = model.submission("a", done + 100, 30);
    model.stored["ja"] = sched::encodeSubmission(*submission.submitted);
    model.stored["pa"] = doneTasks(done);
    model.newOwner();
    while (progressRecords(model, "a") == 1U && model.timeMs < 1'010'000)
        model.run(fleet_model::stepMs);
    BOOST_TEST(progressRecords(model, "a") > 1U);
    model.newOwner();
    BOOST_TEST(model.runUntil("a", job_state::completed, 30'000));
    BOOST_TEST(model.starts.size() == 100U);
    requireNoViolations(model);
}

// Guards against the loss of tasks if only a part of a batch is stored: the tasks that the record
// of an earlier release holds have to be in further records before they leave the first one.
BOOST_AUTO_TEST_CASE(theFirstRecordOfAnOpenJobIsStoredLastAndThatOfAnEndedJobFirst)
{
    fleet_model model(1);
    const auto submission = model.submission("a", 300, 1);
    model.stored["ja"] = sched::encodeSubmission(*submission.submitted);
    model.stored["pa"] = doneTasks(299);
    model.newOwner();
    std::vector<std::string> keys;
    while (keys.empty() && model.timeMs < 1'010'000) {
        model.run(fleet_model::stepMs);
        if (model.batch)
            keys = progressKeys(model.batch->records);
    }
    BOOST_REQUIRE(keys.size() > 1U);
    BOOST_TEST(keys.back() == "pa");
    while (model.shown("a") != job_state::completed && model.timeMs < 1'010'000) {
        if (model.batch && !progressKeys(model.batch->records).empty())
            keys = progressKeys(model.batch->records);
        model.run(fleet_model::stepMs);
    }
    BOOST_REQUIRE(keys.size() > 1U);
    BOOST_TEST(keys.front() == "pa");
}

BOOST_AUTO_TEST_CASE(progressKeysOutOfRangeAreRejected)
{
    for (const char *key : { "pa.", "pa.0", "pa.x", "pa.4000000000", "pa.1x", "pa.-1" }) {
        fleet_model model(1);
        BOOST_CHECK_THROW(model.owner->load({ key, doneTasks(1) }), error);
    }
}

// Guards against a record that outgrows the store by the checkpoints of its tasks.
BOOST_AUTO_TEST_CASE(longCheckpointsAreNotKept)
{
    const std::size_t accepted = sched::maxCheckpointBytes(largestRecord);
    BOOST_TEST(accepted >= 1'000U);
    for (const std::size_t size : { accepted, accepted + 1 }) {
        sched::progress record;
        fleet_model model(1);
        model.run(1'000);
        model.send(model.submission("a", 1, 100));
        model.run(300);
        BOOST_REQUIRE(model.nodes[0].worker.running.count("a.0.0.0") == 1U);
        sched::agent_report report;
        report.responsive = true;
        report.complete = true;
        report.running.push_back(std::make_unique<sched::run_status>());
        report.running[0]->task = "a.0.0.0";
        report.running[0]->run = 1;
        report.running[0]->checkpoint = std::string(size, 'c');
        model.owner->onReport(model.nodes[0].name, report, model.now());
        const auto &task = model.owner->findJob("a")->occurrences[0].steps[0].tasks[0];
        BOOST_TEST(task.checkpoint.size() == (size <= accepted ? size : 0U));
    }
}

// Guards against a submission that the store refuses for good, after which nothing is accepted.
BOOST_AUTO_TEST_CASE(aSubmissionThatIsTooLongForTheStoreIsRejected)
{
    fleet_model model(1);
    model.run(1'000);
    auto call = model.submission("large", 1, 100, 4);
    call.number = 7;
    call.submitted->spec->steps[2]->image = std::string(largestRecord, 'i');
    model.send(call);
    model.run(100);
    BOOST_REQUIRE(model.answers.count(7) == 1U);
    BOOST_TEST(model.answers[7].outcome == static_cast<int>(sched::call_outcome::rejected));
    model.send(model.submission("a", 1));
    BOOST_TEST(model.runUntil("a", job_state::completed, 5'000));
    BOOST_TEST(model.stored.count("jlarge") == 0U);
}

// Guards against orders that are too long for a message: the connection was closed each time, and
// nothing started on that node.
BOOST_AUTO_TEST_CASE(manyOrdersForOneNodeGoInSeveralMessages)
{
    fleet_model model(1);
    model.run(1'000);
    auto call = model.submission("a", 600, 1);
    call.submitted->spec->payload = std::string(4'000, 's');
    model.send(call);
    std::size_t messages = 0;
    for (int i = 0; i < 30; ++i) {
        model.nodes[0].ordersHeldUp = true;
        model.run(fleet_model::stepMs);
        for (const sched::message &each : model.nodes[0].toAgent) {
            const std::size_t bytes = sched::encodeMessage(each).size();
            messages += bytes > 100'000 ? 1 : 0;
            BOOST_TEST(bytes <= sched::maxMessageBytes);
        }
        model.nodes[0].ordersHeldUp = false;
        model.run(fleet_model::stepMs);
    }
    BOOST_TEST(messages > 2U);
    BOOST_TEST(model.runUntil("a", job_state::completed, 10'000));
    BOOST_TEST(model.starts.size() == 600U);
    requireNoViolations(model);
}

BOOST_AUTO_TEST_SUITE_END()
