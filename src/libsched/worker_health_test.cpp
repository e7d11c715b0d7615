#include "plantainpitch/sched/worker_health.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using std::chrono::seconds;

namespace {

/// Records a failure of each of three jobs, one \a apart from the next; returns the last instant.
instant failThreeJobs(sched::worker &worker, instant from, duration apart)
{
    for (const char *job : { "a", "b", "c" }) {
        recordFailure(worker, job, from);
        from += apart;
    }
    return from - apart;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_health)

BOOST_AUTO_TEST_CASE(failuresOfThreeJobsInARowExcludeAWorker)
{
    sched::worker worker;
    const instant last = failThreeJobs(worker, instant(seconds(100)), seconds(1));
    BOOST_TEST((worker.excludedUntil > last));
}

// Guards against a worker that is excluded although its failures lie far apart: without batch work
// no completed run clears its history, and services fail now and then.
BOOST_AUTO_TEST_CASE(failuresOfServicesThatLieFarApartDoNotExcludeAWorker)
{
    sched::worker worker;
    const instant last = failThreeJobs(worker, instant(seconds(100)), seconds(120));
    BOOST_TEST((worker.excludedUntil <= last));
}

// Guards against exclusions that grow longer each time although they lie far apart.
BOOST_AUTO_TEST_CASE(anExclusionLongAfterTheLastOneIsAsShortAsTheFirst)
{
    sched::worker worker;
    instant last = failThreeJobs(worker, instant(seconds(100)), seconds(1));
    const duration first = worker.excludedUntil - last;
    last = failThreeJobs(worker, worker.excludedUntil + seconds(600), seconds(1));
    BOOST_TEST((worker.excludedUntil - last == first));
}

// Guards against evidence that fades during the exclusion itself: a worker that fails everything
// would get as much work as before after each pause.
BOOST_AUTO_TEST_CASE(aWorkerThatGoesOnFailingIsExcludedLongerEachTime)
{
    sched::worker worker;
    instant last = failThreeJobs(worker, instant(seconds(100)), seconds(1));
    duration pause = worker.excludedUntil - last;
    for (int i = 0; i < 3; ++i) {
        last = worker.excludedUntil + seconds(5);
        recordFailure(worker, "next-" + std::to_string(i), last);
        BOOST_TEST((worker.excludedUntil - last == 2 * pause));
        pause = worker.excludedUntil - last;
    }
}

// Guards against a worker that stays excluded after it has shown to be sound.
BOOST_AUTO_TEST_CASE(onlyARunThatBeganDuringAnExclusionEndsIt)
{
    sched::worker worker;
    const instant last = failThreeJobs(worker, instant(seconds(100)), seconds(1));
    recordSuccess(worker, last - seconds(1), last + seconds(1));
    BOOST_TEST((worker.excludedUntil > last + seconds(1)));
    recordSuccess(worker, last + seconds(1), last + seconds(2));
    BOOST_TEST((worker.excludedUntil <= last + seconds(2)));
}

// Guards against a log that says that a run ended an exclusion which ended by time, or the reverse.
BOOST_AUTO_TEST_CASE(aRunCountsAsTheEndOnlyOfTheExclusionThatItEnded)
{
    sched::worker worker;
    instant last = failThreeJobs(worker, instant(seconds(100)), seconds(1));
    recordSuccess(worker, last - seconds(1), last + seconds(1)); // began before
    BOOST_TEST(!exclusionEndedByRun(worker));
    recordSuccess(worker, last + seconds(1), last + seconds(2));
    BOOST_TEST(exclusionEndedByRun(worker));
    last = failThreeJobs(worker, last + seconds(3), seconds(0));
    BOOST_TEST(!exclusionEndedByRun(worker));
    const instant end = worker.excludedUntil;
    recordSuccess(worker, last + seconds(1), end);
    BOOST_TEST(!exclusionEndedByRun(worker));
}

// Guards against a job that fails because the last attempt of a task goes to a worker on which
// others have just failed.
BOOST_AUTO_TEST_CASE(theLastAttemptOfATaskWaitsUntilTheFailuresOnAWorkerLieBack)
{
    sched::worker worker;
    const instant last = failThreeJobs(worker, instant(seconds(100)), seconds(1));
    BOOST_TEST(mayTryWithFailures(worker, 0, 2, last));
    BOOST_TEST(!mayTryWithFailures(worker, 1, 2, last + seconds(2)));
    BOOST_TEST(mayTryWithFailures(worker, 1, 2, last + seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
