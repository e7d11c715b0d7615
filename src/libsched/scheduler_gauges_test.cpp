#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using test::fleet_model;
using test::requireNoViolations;

namespace {

double gauge(const fleet_model &model, const std::string &name)
{
    for (const set_gauge &each : model.owner->gauges(model.now())) {
        if (each.name == name)
            return each.value;
    }
    BOOST_FAIL("no gauge " << name);
    return 0;
}

/// Submits a job whose only task runs until the test ends it.
void startBlocker(fleet_model &model, const std::string &id, std::uint32_t cpu)
{
    auto call = model.submission(id, 1, cpu);
    call.submitted->spec->steps[0]->estimateMs = 60'000;
    model.send(call);
    model.run(300);
    const auto task = model.nodes.front().worker.running.find(id + ".0.0.0");
    BOOST_REQUIRE((task != model.nodes.front().worker.running.end()));
    task->second.leftMs = 60'000;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_gauges)

// Guards against a batch job that stands still without any metric that shows it (issue 28), and
// against jobs that run and are counted with it.
BOOST_AUTO_TEST_CASE(aBatchJobCountsAsStarvedFromASecondAndAHalfUntilItRuns)
{
    fleet_model model(1);
    model.run(1'000);
    startBlocker(model, "blocker", 3'500);
    model.send(model.submission("starved", 1, 1'000));
    model.run(1'400);
    BOOST_TEST(gauge(model, "starved_jobs") == 0);
    BOOST_TEST(gauge(model, "starved_jobs_longest_wait_seconds") == 0);
    model.run(200);
    BOOST_TEST(gauge(model, "starved_jobs") == 1);
    model.send(model.submission("starved-later", 1, 1'000));
    model.run(1'600);
    BOOST_TEST(gauge(model, "starved_jobs") == 2);
    BOOST_TEST(gauge(model, "starved_jobs_longest_wait_seconds") >= 3.1);
    BOOST_TEST(gauge(model, "starved_jobs_longest_wait_seconds") <= 3.3);
    BOOST_TEST(gauge(model, "long_running_waiting") == 0);
    model.nodes.front().worker.end("blocker.0.0.0", sched::run_outcome::done);
    model.run(500);
    BOOST_TEST(gauge(model, "starved_jobs") == 0);
    BOOST_TEST(gauge(model, "starved_jobs_longest_wait_seconds") == 0);
    requireNoViolations(model);
}

// Guards against services counted as starved batch jobs; they have gauges of their own.
BOOST_AUTO_TEST_CASE(aServiceThatWaitsIsNoStarvedJob)
{
    fleet_model model(1);
    model.run(1'000);
    startBlocker(model, "blocker", 3'500);
    auto call = model.submission("service", 1, 1'000);
    call.submitted->spec->steps[0]->longRunning = true;
    model.send(call);
    model.run(2'000);
    BOOST_TEST(gauge(model, "long_running_waiting") == 1);
    BOOST_TEST(gauge(model, "starved_jobs") == 0);
    requireNoViolations(model);
}

// Guards against a fleet that is excluded from batch work without any metric that shows it, and
// against exclusions that have ended and still count.
BOOST_AUTO_TEST_CASE(aWorkerCountsAsExcludedUntilItsExclusionEnds)
{
    fleet_model model(2);
    model.run(1'000);
    for (auto &node : model.nodes)
        node.worker.failsAll = true;
    for (int i = 0; i < 6; ++i)
        model.send(model.submission("failing-" + std::to_string(i), 1, 1'000));
    model.run(1'500);
    for (auto &node : model.nodes)
        node.worker.failsAll = false;
    BOOST_TEST(gauge(model, "excluded_workers") == 2);
    model.run(30'000);
    BOOST_TEST(gauge(model, "excluded_workers") == 0);
    requireNoViolations(model);
}

BOOST_AUTO_TEST_SUITE_END()
