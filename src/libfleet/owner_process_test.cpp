#include "plantainpitch/fleet/owner_process.h"

#include "epoch_store.h"
#include "plantainpitch/runtime/manual_clock.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

/// A service of two tasks, for which there is no worker.
sched::stored_record serviceRecord(const std::string &id = "5c0e7a21d94b36f8",
                                   const std::string &queue = "queue")
{
    sched::submission service;
    service.id = id;
    service.queue = queue;
    service.spec = std::make_unique<sched::job_spec>();
    service.spec->steps.push_back(std::make_unique<sched::step_spec>());
    service.spec->steps[0]->count = 2;
    service.spec->steps[0]->longRunning = true;
    return { 'j' + service.id, sched::encodeSubmission(service) };
}

struct owner_fixture
{
    explicit owner_fixture(sched::store_limits limits = {})
        : subject(context, store, clock, log, { .node = "node", .store = limits })
    {}

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{}; passed < time; passed += tick) {
            clock.advance(tick);
            subject.tick();
            context.restart();
            context.poll();
        }
    }

    [[nodiscard]] bool serves(const std::string &line) const
    {
        return counters.text().find('\n' + line + '\n') != std::string::npos;
    }

    static constexpr std::chrono::milliseconds tick{ 100 };

    runtime::manual_clock clock;
    runtime::logging lines{ clock, "error" };
    runtime::metrics counters;
    runtime::event_log log{ lines, counters };
    boost::asio::io_context context;
    test::epoch_store store;
    fleet::owner_process subject;
};

} // namespace

// Guards against services that wait without any metric that shows it, and against figures of an
// ownership that has ended.
BOOST_AUTO_TEST_CASE(anOwnerServesHowManyLongRunningTasksWaitAndForHowLong)
{
    owner_fixture fixture;
    fixture.store.records = { serviceRecord() };
    sched::fleet_config config;
    config.version = 1;
    config.queues["queue"] = { .name = "queue", .service = "pool" };
    fixture.subject.setConfig(config, {});
    fixture.run(std::chrono::milliseconds(1'000));
    BOOST_TEST(fixture.serves("plantain_long_running_waiting 2"));
    fixture.run(std::chrono::milliseconds(2'000));
    BOOST_TEST(!fixture.serves("plantain_long_running_longest_wait_seconds 0"));
    fixture.store.ownsPartition = false;
    fixture.run(std::chrono::milliseconds(1'000));
    BOOST_TEST(fixture.serves("plantain_long_running_waiting 0"));
    BOOST_TEST(fixture.serves("plantain_long_running_longest_wait_seconds 0"));
}

// Guards against a batch that the store refuses for good because it is too long for one call.
BOOST_AUTO_TEST_CASE(aBatchThatIsTooLongForOneCallIsStoredInSeveral)
{
    owner_fixture fixture({ .callBytes = 1 }); // a record each
    sched::fleet_config config;
    config.version = 1;
    // The owner stores the settings of each queue that has a job.
    for (const char *queue : { "first", "second", "third" }) {
        config.queues[queue] = { .name = queue, .service = "pool" };
        fixture.store.records.push_back(serviceRecord(queue, queue));
    }
    fixture.subject.setConfig(config, {});
    fixture.store.failures = 1;
    fixture.run(std::chrono::milliseconds(200));
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(300)); // until the append is repeated
    const auto &appends = fixture.store.appends;
    BOOST_REQUIRE(appends.size() == 4U);
    BOOST_TEST(appends[0].first == 1U);
    BOOST_TEST((appends[1] == appends[0]));
    BOOST_TEST(appends[2].first == 2U);
    BOOST_TEST(appends[3].first == 3U);
    std::vector<std::string> keys;
    for (std::size_t i = 1; i < appends.size(); ++i) {
        BOOST_REQUIRE(appends[i].second.size() == 1U);
        keys.push_back(appends[i].second[0].key);
    }
    const std::vector<std::string> expected = { "qfirst", "qsecond", "qthird" };
    BOOST_TEST(keys == expected, boost::test_tools::per_element());
}
