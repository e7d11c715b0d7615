#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;
using test::requireNoViolations;

namespace {

/// Two nodes in each of the data centres "dc-a" and "dc-b".
struct evacuated_fleet
{
    evacuated_fleet()
        : model(4)
    {
        for (std::size_t i = 0; i < model.nodes.size(); ++i)
            model.nodes[i].worker.info.dataCentre = i < 2 ? "dc-a" : "dc-b";
        model.run(1'000);
    }

    void ownerReads(const std::set<std::string> &dataCentres)
    {
        model.owner->setEvacuations({ .asOf = ++offset, .dataCentres = dataCentres });
    }

    void agentsRead(const std::set<std::string> &dataCentres)
    {
        ++offset;
        for (auto &each : model.nodes)
            each.agent->setEvacuations({ .asOf = offset, .dataCentres = dataCentres }, model.now());
    }

    [[nodiscard]] std::size_t runsIn(const std::string &dataCentre) const
    {
        std::size_t runs = 0;
        for (const auto &each : model.nodes)
            runs += each.worker.info.dataCentre == dataCentre ? each.worker.running.size() : 0;
        return runs;
    }

    /// Runs the model; returns the largest number of runs in the data centre meanwhile.
    std::size_t mostRunsIn(const std::string &dataCentre, std::int64_t ms)
    {
        std::size_t most = 0;
        for (std::int64_t passed = 0; passed < ms; passed += fleet_model::stepMs) {
            model.run(fleet_model::stepMs);
            most = std::max(most, runsIn(dataCentre));
        }
        return most;
    }

    [[nodiscard]] std::size_t refusals(const std::string &reason) const
    {
        return static_cast<std::size_t>(std::count_if(
                model.logLines.begin(), model.logLines.end(), [&reason](const write_log &line) {
                    return line.event == std::string("start_refused")
                           && std::any_of(
                                   line.fields.begin(), line.fields.end(),
                                   [&reason](const auto &field) { return field.second == reason; });
                }));
    }

    [[nodiscard]] double gauge(const std::string &name) const
    {
        for (const set_gauge &each : model.owner->gauges(model.now())) {
            if (each.name == name)
                return each.value;
        }
        return -1;
    }

    fleet_model model;
    std::uint64_t offset = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_evacuation)

// Guards against starts in a data centre that operators have evacuated.
BOOST_AUTO_TEST_CASE(nothingStartsInAnEvacuatedDataCentreAndWhatRunsThereGoesOn)
{
    evacuated_fleet fleet;
    fleet.model.send(fleet.model.submission("before", 16));
    fleet.model.run(300);
    const std::size_t running = fleet.runsIn("dc-a");
    BOOST_TEST(running > 0U);
    fleet.ownerReads({ "dc-a" });
    fleet.model.run(100);
    BOOST_TEST(fleet.gauge("evacuated_data_centres") == 1);
    BOOST_TEST(fleet.gauge("evacuated_runs") == static_cast<double>(running));
    BOOST_TEST(fleet.gauge("evacuated_oldest_run_seconds") > 0.2);
    BOOST_TEST(fleet.runsIn("dc-a") == running);
    fleet.model.run(1'500);
    fleet.model.send(fleet.model.submission("after", 16));
    BOOST_TEST(fleet.mostRunsIn("dc-a", 4'000) == 0U);
    BOOST_TEST((fleet.model.shown("before") == job_state::completed));
    BOOST_TEST((fleet.model.shown("after") == job_state::completed));
    BOOST_TEST(fleet.gauge("evacuated_runs") == 0);
    requireNoViolations(fleet.model);
}

// Guards against a data centre that stays empty after the evacuation has ended.
BOOST_AUTO_TEST_CASE(workReturnsWhenTheEvacuationEnds)
{
    evacuated_fleet fleet;
    fleet.ownerReads({ "dc-a", "dc-b" });
    fleet.model.send(fleet.model.submission("job", 16));
    fleet.model.run(3'000);
    BOOST_TEST((fleet.model.shown("job") == job_state::queued));
    fleet.ownerReads({ "dc-b" });
    BOOST_TEST(fleet.mostRunsIn("dc-a", 500) > 0U);
    BOOST_TEST(fleet.runsIn("dc-b") == 0U);
    BOOST_TEST(fleet.model.runUntil("job", job_state::completed, 4'000));
    requireNoViolations(fleet.model);
}

// Guards against an owner that the store does not reach: it would go on ordering starts that the
// agents refuse, and the jobs would stand still beside free workers.
BOOST_AUTO_TEST_CASE(anOwnerWithoutTheRecordsGoesByItsAgents)
{
    evacuated_fleet fleet;
    fleet.agentsRead({ "dc-a" });
    fleet.model.run(700); // a report interval and the way
    fleet.model.send(fleet.model.submission("job", 16));
    BOOST_TEST(fleet.mostRunsIn("dc-a", 4'000) == 0U);
    BOOST_TEST((fleet.model.shown("job") == job_state::completed));
    BOOST_TEST(fleet.refusals("evacuated") == 0U);
    requireNoViolations(fleet.model);
}

// Guards against an order that was on its way when the evacuation began, and against its task
// waiting for the evacuated worker.
BOOST_AUTO_TEST_CASE(aRefusedStartIsOrderedElsewhere)
{
    evacuated_fleet fleet;
    fleet.model.send(fleet.model.submission("job", 16));
    fleet.agentsRead({ "dc-a" });
    BOOST_TEST(fleet.mostRunsIn("dc-a", 6'000) == 0U);
    BOOST_TEST(fleet.refusals("evacuated") > 0U);
    BOOST_TEST((fleet.model.shown("job") == job_state::completed));
    requireNoViolations(fleet.model);
}

// Guards against a takeover between the acknowledgement and the starts: the new owner has not read
// the records yet.
BOOST_AUTO_TEST_CASE(anEvacuationOutlastsATakeover)
{
    evacuated_fleet fleet;
    fleet.agentsRead({ "dc-a" });
    fleet.ownerReads({ "dc-a" });
    fleet.model.send(fleet.model.submission("job", 40, 1'000, 2));
    fleet.model.run(200);
    fleet.model.newOwner();
    BOOST_TEST(fleet.mostRunsIn("dc-a", 10'000) == 0U);
    BOOST_TEST((fleet.model.shown("job") == job_state::completed));
    requireNoViolations(fleet.model);
}

// Guards against a gang that waits for an evacuated rack which could hold it.
BOOST_AUTO_TEST_CASE(aGangLeavesTheEvacuatedRackOut)
{
    evacuated_fleet fleet;
    fleet.ownerReads({ "dc-a" });
    auto call = fleet.model.submission("gang", 4);
    call.submitted->spec->steps[0]->gang = true;
    call.submitted->spec->steps[0]->sameRack = true;
    fleet.model.send(call);
    BOOST_TEST(fleet.mostRunsIn("dc-a", 3'000) == 0U);
    BOOST_TEST((fleet.model.shown("gang") == job_state::completed));
    requireNoViolations(fleet.model);
}

BOOST_AUTO_TEST_SUITE_END()
