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

/// Measurements as an agent makes them: one each time that the figures cover a new period.
struct measured_pacing
{
    sched::pacing subject;
    instant now{ std::chrono::seconds(100) };

    std::map<std::string, std::uint32_t> measure(const std::vector<paced_task> &tasks)
    {
        now += std::chrono::milliseconds(600);
        return subject.measure(tasks, now);
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

// One pace for all tasks stopped images that do no harm whenever another image did.
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

// Raised to full pace at once, a task that disturbs would bring the latency over the target again.
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

// Figures cover half a second, so a second look within it would punish the same excess twice.
BOOST_AUTO_TEST_CASE(aChangeIsGivenTimeToShow)
{
    measured_pacing paces;
    paces.measure(tasksAt(110, 1));
    const std::uint32_t first = paces.subject.percentOf("f");
    BOOST_TEST(first < 100U);
    BOOST_TEST(paces.subject.measure(tasksAt(110, 1), paces.now + std::chrono::milliseconds(200))
                       .empty());
    BOOST_TEST(paces.subject.percentOf("f") == first);
}

BOOST_AUTO_TEST_SUITE_END()
