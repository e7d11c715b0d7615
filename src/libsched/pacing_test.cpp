#include "plantainpitch/sched/pacing.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::paced_task;

namespace {

/// One serving task at that latency, with a target of 100 ms, and one task that fills.
std::vector<paced_task> tasksAt(std::uint32_t latencyMs, double disturbance = 0)
{
    return { { .task = "s", .targetMs = 100, .usage = latencyMs },
             { .task = "f", .fills = true, .disturbance = disturbance } };
}

/// Measures as an agent does: once each time that the measurements cover a new period.
struct measured_pacing
{
    sched::pacing subject;
    instant now{ std::chrono::seconds(100) };

    std::map<std::string, std::uint32_t> measure(const std::vector<paced_task> &tasks)
    {
        now += std::chrono::milliseconds(600);
        return subject.update(tasks, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(pacing)

BOOST_AUTO_TEST_CASE(fillingTasksAreStoppedWithinFourMeasurementsAboveTheTarget)
{
    measured_pacing paces;
    for (int i = 0; i < 4; ++i)
        paces.measure(tasksAt(150));
    BOOST_TEST(paces.subject.percentOf("f") == 0U);
}

BOOST_AUTO_TEST_CASE(theyRecoverOnceTheLatencyIsLow)
{
    measured_pacing paces;
    for (int i = 0; i < 4; ++i)
        paces.measure(tasksAt(150));
    for (int i = 0; i < 5; ++i)
        paces.measure(tasksAt(20));
    BOOST_TEST(paces.subject.percentOf("f") == 100U);
}

// A common pace for all tasks would stop harmless images whenever another image disturbs.
BOOST_AUTO_TEST_CASE(onlyTheTaskThatDisturbsIsSlowed)
{
    measured_pacing paces;
    auto tasks = tasksAt(110, 0.02);
    tasks.push_back({ .task = "heavy", .fills = true, .disturbance = 1.5 });
    const auto changes = paces.measure(tasks);
    BOOST_TEST(changes.size() == 1U);
    BOOST_TEST(changes.at("heavy") < 100U);
    BOOST_TEST(paces.subject.percentOf("f") == 100U);
}

// Raising a disturbing task to full pace at once would push the latency over the target again.
BOOST_AUTO_TEST_CASE(aTaskThatDisturbsGetsOnlyThePaceThatTheHeadroomAllows)
{
    measured_pacing paces;
    for (int i = 0; i < 4; ++i)
        paces.measure(tasksAt(200, 2));
    BOOST_TEST(paces.subject.percentOf("f") == 0U);
    paces.measure(tasksAt(50, 2)); // headroom 2, of which the task would take all at full pace
    BOOST_TEST(paces.subject.percentOf("f") > 0U);
    BOOST_TEST(paces.subject.percentOf("f") < 60U);
}

// Measurements cover half a second, so a second one within it would react to the same excess twice.
BOOST_AUTO_TEST_CASE(aChangeIsGivenTimeToShow)
{
    measured_pacing paces;
    paces.measure(tasksAt(110, 1));
    const std::uint32_t first = paces.subject.percentOf("f");
    BOOST_TEST(first < 100U);
    BOOST_TEST(paces.subject.update(tasksAt(110, 1), paces.now + std::chrono::milliseconds(200))
                       .empty());
    BOOST_TEST(paces.subject.percentOf("f") == first);
}

BOOST_AUTO_TEST_SUITE_END()
