#include "plantainpitch/sched/progress_monitor.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::progress_monitor;
using sched::run_progress;

namespace {

/// Reports runs of up to two jobs once a second, progressing at that speed.
void report(progress_monitor &subject, int reports, double speed, double pace = 1, int jobs = 2)
{
    static double done = 0;
    static instant now{ std::chrono::seconds(100) };
    for (int i = 0; i < reports; ++i) {
        now += std::chrono::seconds(1);
        done += 1'000 * speed * pace;
        std::vector<run_progress> runs = { { "a", "job-a", done, pace } };
        if (jobs > 1)
            runs.push_back({ "b", "job-b", done, pace });
        subject.observe(runs, now);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(progress_monitors)

BOOST_AUTO_TEST_CASE(aWorkerOnWhichRunsStandStillIsSlowAfterOneSecond)
{
    progress_monitor subject;
    report(subject, 3, 1);
    BOOST_TEST(!subject.isSlow());
    report(subject, 4, 0);
    BOOST_TEST(subject.isSlow());
}

// Guards against a worker that stays excluded while its runs are paced down and cannot be measured.
BOOST_AUTO_TEST_CASE(earlierEvidenceFadesWhileNoRunCanBeMeasured)
{
    progress_monitor subject;
    report(subject, 7, 0);
    BOOST_TEST(subject.isSlow());
    report(subject, 5, 0, 0);
    BOOST_TEST(!subject.isSlow());
}

BOOST_AUTO_TEST_CASE(aWorkerThatIsSixTimesSlowerIsSlow)
{
    progress_monitor subject;
    report(subject, 5, 1.0 / 6);
    BOOST_TEST(subject.isSlow());
}

// A single job may take many times its estimate.
BOOST_AUTO_TEST_CASE(oneJobThatTakesLongerIsNotTheWorkersFault)
{
    progress_monitor subject;
    report(subject, 5, 0.2, 1, 1);
    BOOST_TEST(!subject.isSlow());
    report(subject, 5, 0.6);
    BOOST_TEST(!subject.isSlow());
}

// Runs may be stopped by the agent's pacing.
BOOST_AUTO_TEST_CASE(pacedRunsAreNoEvidence)
{
    progress_monitor subject;
    report(subject, 5, 0, 0);
    BOOST_TEST(!subject.isSlow());
}

// Guards against a worker that is excluded because its runs were measured against a pace that the
// worker had not confirmed.
BOOST_AUTO_TEST_CASE(runsOfUnknownPaceAreNoEvidence)
{
    progress_monitor subject;
    for (int second = 0; second < 5; ++second) {
        const instant now{ std::chrono::seconds(100 + second) };
        subject.observe({ { "a", "job-a", 0, std::nullopt }, { "b", "job-b", 0, std::nullopt } },
                        now);
    }
    BOOST_TEST(!subject.isSlow());
    BOOST_TEST(subject.stalledRuns().empty());
}

BOOST_AUTO_TEST_CASE(aWorkerThatGetsOnAgainIsNotSlow)
{
    progress_monitor subject;
    report(subject, 5, 0);
    BOOST_TEST(subject.isSlow());
    report(subject, 3, 1);
    BOOST_TEST(!subject.isSlow());
}

BOOST_AUTO_TEST_SUITE_END()
