#include "plantainpitch/policy/percentile_hedging.h"
#include "plantainpitch/policy/queue_admission.h"
#include "plantainpitch/policy/token_bucket.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

// Guards against retries that exceed the configured ratio of requests.
BOOST_AUTO_TEST_CASE(tokenBucketBoundsRetries)
{
    token_bucket budget(0.1);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        taken += budget.tryAcquire() ? 1 : 0;
    }
    BOOST_TEST(taken >= 100);
    BOOST_TEST(taken <= 110);
}

// Guards against hedging before the latency is known, too early, or for every request.
BOOST_AUTO_TEST_CASE(hedgesAfterThePercentileWithinTheBudget)
{
    percentile_hedging hedging;
    BOOST_TEST(!hedging.delay().has_value());
    for (int i = 0; i < 1000; ++i)
        hedging.onLatency(std::chrono::milliseconds(1 + i % 100));
    BOOST_TEST(hedging.delay().value().count() >= 90'000);
    BOOST_TEST(hedging.delay().value().count() <= 98'000);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        hedging.onRequest();
        taken += hedging.tryAcquire() ? 1 : 0;
    }
    BOOST_TEST(taken <= 60);
}

// Guards against admitting work that has to wait past its deadline, and against refusing work
// that a free slot can take.
BOOST_AUTO_TEST_CASE(admissionFollowsTheQueueEstimate)
{
    queue_admission admission;
    const auto canFinish = [&](std::uint32_t running, std::uint32_t queued, int ms) {
        return admission.canFinish({ .slots = 8, .running = running, .queued = queued },
                                   std::chrono::milliseconds(ms));
    };
    BOOST_TEST(canFinish(8, 30, 1)); // nothing measured yet
    for (int i = 0; i < 100; ++i)
        admission.onServiceTime(std::chrono::milliseconds(80));
    BOOST_TEST(canFinish(7, 0, 10));
    BOOST_TEST(!canFinish(8, 7, 150)); // 8 x 80 / 8 + 80 ms
    BOOST_TEST(canFinish(8, 7, 170));
    BOOST_TEST(!canFinish(0, 0, 0));
}
