#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace plantainpitch;
using test::fleet_model;
using test::requireNoViolations;

namespace {

std::string field(const write_log &line, const std::string &name)
{
    for (const auto &[key, value] : line.fields) {
        if (key == name)
            return value;
    }
    return {};
}

/// A fleet whose log lines are kept, with services that run until they are cancelled.
struct logged_fleet
{
    explicit logged_fleet(std::uint32_t nodes)
        : model(nodes)
    {
        model.longRunningMs = 3'600'000;
        model.run(1'000);
    }

    void startService(const std::string &id, std::uint32_t tasks, std::uint32_t cpu)
    {
        auto call = model.submission(id, tasks, cpu);
        auto &step = *call.submitted->spec->steps[0];
        step.longRunning = true;
        step.maxPerVm = 1;
        step.estimateMs = 0;
        model.send(call);
        model.run(500);
    }

    fleet_model::node &placeOf(const std::string &task)
    {
        for (auto &each : model.nodes) {
            if (each.worker.running.count(task) > 0)
                return each;
        }
        BOOST_FAIL(task << " does not run");
        return model.nodes.front();
    }

    std::vector<write_log> lines(const std::string &event) const
    {
        std::vector<write_log> result;
        std::copy_if(model.logLines.begin(), model.logLines.end(), std::back_inserter(result),
                     [&event](const write_log &line) { return line.event == event; });
        return result;
    }
    std::vector<write_log> lines(const std::string &event, const std::string &task) const
    {
        std::vector<write_log> result = lines(event);
        std::erase_if(result,
                      [&task](const write_log &line) { return field(line, "task") != task; });
        return result;
    }

    fleet_model model;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_log)

// Guards against runs of services whose start and end are missing from the log (issue 17): batch
// work had used up the budget of the events.
BOOST_AUTO_TEST_CASE(linesOfLongRunningRunsHaveABudgetOfTheirOwn)
{
    logged_fleet fleet(2);
    fleet.startService("service", 2, 1'000);
    fleet.model.send(fleet.model.submission("batch", 2));
    fleet.model.run(2'000);
    fleet.placeOf("service.0.0.0").worker.end("service.0.0.0", sched::run_outcome::failed);
    fleet.model.run(2'000);
    for (const char *event : { "run_ordered", "run_ended" }) {
        const auto service = fleet.lines(event, "service.0.0.0");
        BOOST_REQUIRE(!service.empty());
        BOOST_TEST(service.back().budget == "long_running");
        const auto batch = fleet.lines(event, "batch.0.0.0");
        BOOST_REQUIRE(!batch.empty());
        BOOST_TEST(batch.back().budget.empty());
    }
    requireNoViolations(fleet.model);
}

// Guards against a service whose log shows a start after a start: the loss of a worker was logged
// with a number of runs only.
BOOST_AUTO_TEST_CASE(eachLongRunningRunThatIsLostWithItsWorkerHasALine)
{
    logged_fleet fleet(3);
    fleet.startService("service", 2, 1'000);
    fleet.model.run(1'000);
    auto &place = fleet.placeOf("service.0.0.0");
    fleet.model.crashWorker(place);
    fleet.model.run(15'000);
    const auto lost = fleet.lines("run_lost");
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(field(lost[0], "task") == "service.0.0.0");
    BOOST_TEST(field(lost[0], "run") == "1");
    BOOST_TEST(field(lost[0], "worker") == place.worker.info.id);
    BOOST_TEST(!field(lost[0], "reason").empty());
    BOOST_TEST(lost[0].budget == "long_running");
    BOOST_TEST(fleet.lines("run_ordered", "service.0.0.0").size() == 2U);
    requireNoViolations(fleet.model);
}

// Guards against a task that waits without any line that says why (issue 17), and against a line in
// each pass.
BOOST_AUTO_TEST_CASE(theLogSaysWhyALongRunningTaskWaits)
{
    logged_fleet fleet(3);
    fleet.startService("service", 3, 2'500);
    auto &place = fleet.placeOf("service.0.0.0");
    fleet.model.crashWorker(place);
    fleet.model.run(30'000);
    const auto lines = fleet.lines("task_waiting", "service.0.0.0");
    BOOST_TEST(lines.size() >= 2U);
    BOOST_TEST(lines.size() <= 7U);
    BOOST_REQUIRE(!lines.empty());
    BOOST_TEST(lines.back().budget == "long_running");
    BOOST_TEST(std::stoll(field(lines.back(), "waited_ms")) >= 5'000);
    BOOST_TEST(field(lines.back(), "vm_limit") == "2");
    requireNoViolations(fleet.model);
}

// Guards against a batch job that waits without any line that says why.
BOOST_AUTO_TEST_CASE(theLogSaysWhyAJobIsStarved)
{
    logged_fleet fleet(2);
    fleet.startService("service", 2, 3'500);
    fleet.model.send(fleet.model.submission("batch", 1));
    fleet.model.run(20'000);
    const auto lines = fleet.lines("job_starved", "batch.0.0.0");
    BOOST_TEST(lines.size() >= 2U);
    BOOST_TEST(lines.size() <= 5U);
    BOOST_REQUIRE(!lines.empty());
    BOOST_TEST(field(lines.back(), "workers") == "2");
    BOOST_TEST(field(lines.back(), "short_of_cpu") == "2");
    requireNoViolations(fleet.model);
}

// Guards against a log from which it cannot be told whether a starved job waits in a full service
// or stands still in a mostly free one (issue 28).
BOOST_AUTO_TEST_CASE(theLineOfAStarvedJobSaysHowMuchOfItsServiceIsInUse)
{
    logged_fleet fleet(2);
    BOOST_REQUIRE(fleet.model.owner->workers().begin()->second->capacity.cpu == 4'000);
    fleet.model.send(fleet.model.submission("too-large", 1, 30'000));
    fleet.model.run(4'000);
    fleet.startService("service", 2, 3'000);
    fleet.model.run(10'000);
    const auto lines = fleet.lines("job_starved", "too-large.0.0.0");
    BOOST_REQUIRE(lines.size() >= 2U);
    BOOST_TEST(field(lines.front(), "service_in_use_percent") == "0");
    BOOST_TEST(field(lines.back(), "service_in_use_percent") == "75");
    requireNoViolations(fleet.model);
}

// Guards against a worker that is excluded for failures without a line, or whose readmission is
// not to be seen.
BOOST_AUTO_TEST_CASE(anExclusionForFailuresIsLoggedAtItsStartAndItsEnd)
{
    logged_fleet fleet(1);
    fleet.model.nodes.front().worker.failsAll = true;
    for (const char *job : { "one", "two", "three" })
        fleet.model.send(fleet.model.submission(job, 1));
    fleet.model.run(2'000);
    fleet.model.nodes.front().worker.failsAll = false;
    fleet.model.run(10'000);
    const auto excluded = fleet.lines("worker_excluded");
    BOOST_REQUIRE(!excluded.empty());
    BOOST_TEST(field(excluded[0], "worker") == fleet.model.nodes.front().worker.info.id);
    BOOST_TEST(field(excluded[0], "reason") == "failures");
    for (const char *job : { "one", "two", "three" })
        BOOST_TEST(field(excluded[0], "because_of").find(job) != std::string::npos);
    const auto readmitted = fleet.lines("worker_readmitted");
    BOOST_REQUIRE(readmitted.size() == excluded.size());
    BOOST_TEST(std::stoll(field(readmitted[0], "took_ms")) >= 2'500);
    requireNoViolations(fleet.model);
}

// Guards against an exclusion that ends early without a line that says why (issue 28).
BOOST_AUTO_TEST_CASE(theLogSaysThatACompletedRunEndedAnExclusion)
{
    logged_fleet fleet(1);
    fleet.model.nodes.front().worker.failsAll = true;
    for (int i = 0; i < 450; ++i) {
        fleet.model.send(fleet.model.submission("failing-" + std::to_string(i), 1, 500));
        fleet.model.run(100);
    }
    fleet.model.nodes.front().worker.failsAll = false;
    const auto &worker = *fleet.model.owner->workers().begin()->second;
    BOOST_REQUIRE((worker.excludedUntil - fleet.model.now() >= std::chrono::seconds(5)));
    // Starved jobs go on failing there, so that it is one exclusion from the first failures on.
    BOOST_REQUIRE(fleet.lines("worker_readmitted").empty());
    fleet.model.run(4'500);
    const auto readmitted = fleet.lines("worker_readmitted");
    BOOST_REQUIRE(readmitted.size() == 1U);
    BOOST_TEST(field(readmitted.back(), "reason") == "failures");
    BOOST_TEST(field(readmitted.back(), "cause") == "completed_run");
    requireNoViolations(fleet.model);
}

// Guards against a line for each report of a worker that stands still; the lines have to name the
// runs.
BOOST_AUTO_TEST_CASE(anExclusionForStalledRunsIsLoggedWithTheRuns)
{
    logged_fleet fleet(1);
    fleet.model.nodes.front().worker.makesNoProgress = true;
    fleet.model.send(fleet.model.submission("batch", 2));
    fleet.model.run(15'000);
    const auto excluded = fleet.lines("worker_excluded");
    // The runs are stopped and started again, so the exclusion ends and recurs; it lasts 2.5 s.
    BOOST_REQUIRE(!excluded.empty());
    BOOST_TEST(excluded.size() <= 5U);
    BOOST_TEST(field(excluded[0], "reason") == "stalled_runs");
    BOOST_TEST(field(excluded[0], "because_of").find("batch.0.0.0") != std::string::npos);
    const auto readmitted = fleet.lines("worker_readmitted");
    BOOST_TEST(readmitted.size() <= excluded.size());
    BOOST_TEST(readmitted.size() + 1 >= excluded.size());
    for (const write_log &line : readmitted)
        BOOST_TEST(field(line, "cause") == "time");
    requireNoViolations(fleet.model);
}

BOOST_AUTO_TEST_SUITE_END()
