#include "fleet_model.h"
#include "plantainpitch/model/error.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace plantainpitch;
using test::fleet_model;
using test::requireNoViolations;

namespace {

constexpr const char *task = "service.0.0.0";
constexpr std::int64_t longMs = 3'600'000;

/// A fleet that runs a service of the queue "former", which the configuration can drop.
struct queue_fixture
{
    queue_fixture()
    {
        model.longRunningMs = longMs;
        model.config.queues["former"] = model.config.queues["batch"];
        model.config.queues["former"].name = "former";
        model.newOwner();
        model.run(1'000);
    }

    void submitService()
    {
        sched::client_call call = lateSubmission();
        call.queueSettings = nullptr;
        model.send(call);
        BOOST_REQUIRE(runsAgainWithin(4'000));
    }

    /// A job as a gateway hands it in that took it before the queue was dropped.
    sched::client_call lateSubmission()
    {
        auto call = model.submission("service", 1);
        call.queue = "former";
        call.submitted->queue = "former";
        call.submitted->spec->steps[0]->longRunning = true;
        sched::queue_config settings = model.config.queues["batch"];
        settings.name = "former";
        call.queueSettings = std::make_unique<sched::queue_record>(sched::toRecord(settings));
        return call;
    }

    void dropQueue()
    {
        ++model.config.version;
        model.config.queues.erase("former");
    }

    void failTask()
    {
        for (auto &each : model.nodes) {
            if (each.worker.running.count(task) > 0)
                each.worker.end(task, sched::run_outcome::failed);
        }
    }

    bool runsAgainWithin(std::int64_t ms)
    {
        for (const std::int64_t end = model.timeMs + ms; model.timeMs < end;) {
            model.step();
            for (const auto &each : model.nodes) {
                if (each.worker.running.count(task) > 0)
                    return true;
            }
        }
        return false;
    }

    fleet_model model{ 2 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_queues)

// Guards against tasks that never run again: the configuration had dropped their queue, and a later
// owner did not know how its tasks run.
BOOST_AUTO_TEST_CASE(tasksOfARemovedQueueRunAgainUnderALaterOwner)
{
    queue_fixture fixture;
    fixture.submitService();
    fixture.model.run(500);
    fixture.dropQueue();
    fixture.model.newOwner();
    fixture.model.run(2'000);
    fixture.failTask();
    BOOST_TEST(fixture.runsAgainWithin(6'000));
    requireNoViolations(fixture.model);
}

// Guards against a job that is accepted and never runs: the gateway had taken it before the
// configuration dropped its queue, and the owner had never known the queue, review/12.
BOOST_AUTO_TEST_CASE(aJobRunsWhoseQueueWasDroppedBeforeTheOwnerTookOver)
{
    queue_fixture fixture;
    fixture.dropQueue();
    fixture.model.newOwner();
    fixture.model.run(500);
    fixture.model.send(fixture.lateSubmission());
    BOOST_TEST(fixture.runsAgainWithin(4'000));
    fixture.model.run(500);
    fixture.model.newOwner();
    fixture.model.run(2'000);
    fixture.failTask();
    BOOST_TEST(fixture.runsAgainWithin(6'000));
    requireNoViolations(fixture.model);
}

// Guards against the same where nobody knows how the job's tasks run.
BOOST_AUTO_TEST_CASE(aJobOfAQueueThatNobodyKnowsIsRefused)
{
    queue_fixture fixture;
    fixture.dropQueue();
    fixture.model.newOwner();
    fixture.model.run(500);
    auto without = fixture.lateSubmission();
    without.number = 1;
    without.queueSettings = nullptr;
    auto ofAnother = fixture.lateSubmission();
    ofAnother.number = 2;
    ofAnother.queueSettings->name = "batch";
    auto bad = fixture.lateSubmission();
    bad.number = 3;
    bad.queueSettings->maxAttempts = 0;
    for (const sched::client_call *each : { &without, &ofAnother, &bad })
        fixture.model.send(*each);
    fixture.model.run(500);
    for (const std::uint64_t number : { 1, 2, 3 }) {
        BOOST_REQUIRE(fixture.model.answers.count(number) == 1U);
        const auto outcome =
                static_cast<sched::call_outcome>(fixture.model.answers[number].outcome);
        BOOST_TEST((outcome == sched::call_outcome::unavailable));
    }
    BOOST_TEST(fixture.model.owner->findJob("service") == nullptr);
}

// Guards against settings of a removed queue that are older than the last ones: the queue had been
// changed after its job was stored.
BOOST_AUTO_TEST_CASE(aLaterOwnerHasTheLastSettingsOfARemovedQueue)
{
    queue_fixture fixture;
    fixture.submitService();
    fixture.model.run(500);
    ++fixture.model.config.version;
    fixture.model.config.queues["former"].service = "elsewhere";
    fixture.model.owner->setConfig(fixture.model.config);
    fixture.model.run(500);
    fixture.dropQueue();
    fixture.model.newOwner();
    fixture.model.run(2'000);
    fixture.failTask();
    BOOST_TEST(!fixture.runsAgainWithin(6'000));
}

BOOST_AUTO_TEST_CASE(settingsThatAnEarlierReleaseHasNotStoredAreAddedAtATakeover)
{
    queue_fixture fixture;
    fixture.submitService();
    fixture.model.run(500);
    fixture.model.stored.erase("qformer"); // as an earlier release leaves it
    fixture.model.newOwner();
    fixture.model.run(500);
    fixture.dropQueue();
    fixture.model.newOwner();
    fixture.model.run(2'000);
    fixture.failTask();
    BOOST_TEST(fixture.runsAgainWithin(6'000));
}

// Guards against a store that keeps the settings of each queue that ever had a job.
BOOST_AUTO_TEST_CASE(settingsOfAQueueAreRemovedWithItsLastJob)
{
    queue_fixture fixture;
    fixture.submitService();
    fixture.model.run(500);
    BOOST_TEST(fixture.model.stored.count("qformer") == 1U);
    BOOST_TEST(fixture.model.stored.count("qbatch") == 0U);
    sched::client_call cancel;
    cancel.kind = static_cast<std::uint8_t>(sched::call_kind::cancel);
    cancel.job = "service";
    cancel.queue = "former";
    fixture.model.send(cancel);
    fixture.model.run(1'000);
    BOOST_TEST(fixture.model.stored.count("qformer") == 1U);
    fixture.model.run(155'000);
    BOOST_TEST(fixture.model.stored.count("jservice") == 0U);
    BOOST_TEST(fixture.model.stored.count("qformer") == 0U);
}

// Guards against placing tasks by stored settings that are older than the configuration.
BOOST_AUTO_TEST_CASE(nothingIsPlacedByStoredSettingsBeforeTheConfigurationIsKnown)
{
    queue_fixture fixture;
    fixture.submitService();
    fixture.failTask();
    fixture.model.config = {};
    fixture.model.newOwner();
    BOOST_TEST(!fixture.runsAgainWithin(4'000));
}

// Guards against a record of another writer that ends the owner.
BOOST_AUTO_TEST_CASE(badQueueRecordsAreRejected)
{
    const std::string good = sched::encodeQueue({ .name = "a", .service = "pool" });
    BOOST_TEST((sched::decodeQueue(good) == sched::queue_config{ .name = "a", .service = "pool" }));
    fleet_model model(1);
    BOOST_CHECK_NO_THROW(model.owner->load({ "qa", good }));
    BOOST_CHECK_THROW(model.owner->load({ "qb", good }), error);
    BOOST_CHECK_THROW(model.owner->load({ "qa", good.substr(0, 12) }), error);
    BOOST_CHECK_THROW(model.owner->load({ "qa", std::string(100'000, '[') }), error);
    const std::vector<sched::queue_config> badQueues = {
        { .service = "pool" },
        { .name = "a", .service = "pool", .maxAttempts = 0 },
        { .name = "a", .service = "pool", .stretch = -1 },
        { .name = "a", .service = "pool", .stretch = std::numeric_limits<double>::quiet_NaN() },
        { .name = "a", .service = "pool", .stretch = std::numeric_limits<double>::infinity() },
    };
    for (const sched::queue_config &bad : badQueues)
        BOOST_CHECK_THROW(sched::decodeQueue(sched::encodeQueue(bad)), error);
}

BOOST_AUTO_TEST_SUITE_END()
