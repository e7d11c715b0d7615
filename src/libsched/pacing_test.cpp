#include "plantainpitch/sched/pacing.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::paced_task;

namespace {

std::vector<paced_task> tasksAt(std::uint32_t latencyMs)
{
    return { { .task = "s", .targetMs = 100, .usage = latencyMs }, { .task = "f", .fills = true } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(pacing)

BOOST_AUTO_TEST_CASE(fillingTasksAreStoppedWithinFourMeasurementsAboveTheTarget)
{
    sched::pacing subject;
    for (int i = 0; i < 4; ++i)
        subject.measure(tasksAt(150));
    BOOST_TEST(subject.percent() == 0U);
}

BOOST_AUTO_TEST_CASE(theyRecoverOnceTheLatencyIsLow)
{
    sched::pacing subject;
    for (int i = 0; i < 4; ++i)
        subject.measure(tasksAt(150));
    for (int i = 0; i < 5; ++i)
        subject.measure(tasksAt(20));
    BOOST_TEST(subject.percent() == 100U);
}

BOOST_AUTO_TEST_CASE(aTaskThatHasJustStartedGetsThePresentShare)
{
    sched::pacing subject;
    subject.measure(tasksAt(150));
    auto tasks = tasksAt(90); // between the thresholds: unchanged
    tasks.push_back({ .task = "new", .fills = true });
    const auto changes = subject.measure(tasks);
    BOOST_TEST(changes.size() == 1U);
    BOOST_TEST(changes.at("new") == subject.percent());
}

BOOST_AUTO_TEST_SUITE_END()
