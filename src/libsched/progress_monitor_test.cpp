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

// Guards against a sound worker that counts as slow because its short tasks are mostly done before
// they are listed twice, so that only those that take long remain to be compared.
BOOST_AUTO_TEST_CASE(runsThatCompleteBetweenTwoListingsCountAsProgress)
{
    progress_monitor subject;
    instant now{ std::chrono::seconds(100) };
    for (int i = 0; i < 8; ++i) {
        const auto name = [i](int number) { return std::to_string(2 * (i + number)); };
        now += std::chrono::seconds(1);
        // Of three short runs, two complete at once and one takes four times its estimate.
        subject.observe({ { name(0), "job-a", 0, 1, 600 },
                          { "quick" + name(0), "job-b", 200, 1, 600 },
                          { "slow" + name(i % 2), "job-c", 150.0 * (1 + i % 2), 1, 600 } },
                        now);
        subject.onCompleted(name(0));
        subject.onCompleted("quick" + name(0));
        BOOST_TEST(!subject.isSlow());
    }
}

// Guards against a gap in the listings, or another clock, that looks like runs without progress.
BOOST_AUTO_TEST_CASE(listingsThatAreFarApartAreNotCompared)
{
    progress_monitor subject;
    instant now{ std::chrono::seconds(100) };
    for (const auto gap : { 10, 20, -25, 30 }) {
        now += std::chrono::seconds(gap);
        subject.observe({ { "a", "job-a", 100 }, { "b", "job-b", 100 } }, now);
        BOOST_TEST(!subject.isSlow());
    }
}

// Guards against a run of hours that looks stalled, as its progress is listed in whole percent.
BOOST_AUTO_TEST_CASE(aRunThatTakesLongerThanAPercentShowsDoesNotCountAsStalled)
{
    progress_monitor subject;
    instant now{ std::chrono::seconds(100) };
    for (int i = 0; i < 8; ++i) {
        now += std::chrono::seconds(1);
        subject.observe({ { "a", "job-a", 0, 1, 3'600'000 } }, now);
    }
    BOOST_TEST(!subject.isSlow());
}

BOOST_AUTO_TEST_SUITE_END()
