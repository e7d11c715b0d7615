#include "plantainpitch/sched/headroom_filter.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace plantainpitch;
using sched::headroom_filter;
using sched::headroom_sample;

namespace {

constexpr double heavyLoss = 12;
constexpr double lightLoss = 0.3;

/// Simulates load that masks disturbances: a serving job on several VMs whose own load varies its
/// headroom between 1.7 and 4.6 every 20 s, with filling tasks that come and go.
struct swinging_job
{
    headroom_filter subject;
    std::mt19937 random{ 7 };
    double seconds = 100;

    [[nodiscard]] double ownHeadroom() const { return 3.1 + 1.45 * std::sin(seconds * 0.314); }

    void run(int rounds, const std::map<std::string, double> &losses)
    {
        std::uniform_int_distribution<int> count(0, 2);
        std::normal_distribution<double> noise(1, 0.04);
        for (int round = 0; round < rounds; ++round) {
            for (int vm = 0; vm < 4; ++vm) {
                seconds += 0.25;
                headroom_sample sample;
                sample.job = "job";
                sample.image = "serving";
                sample.at = instant(std::chrono::milliseconds(std::lround(seconds * 1'000)));
                double headroom = ownHeadroom();
                for (const auto &[image, loss] : losses) {
                    const double share = 0.07 * count(random);
                    sample.filling[image] = share;
                    headroom -= loss * share;
                }
                sample.headroom = std::max(0.3, headroom) * noise(random);
                subject.observe(sample);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(headroom_filters)

// A model of means mistook variations of the job's own load for disturbance and excluded harmless
// images.
BOOST_AUTO_TEST_CASE(imagesAreToldApartBesideAJobWhoseOwnLoadSwings)
{
    swinging_job job;
    job.run(20, { { "heavy", heavyLoss }, { "light", lightLoss } });
    BOOST_TEST(job.subject.loss("heavy") > heavyLoss * 0.6);
    BOOST_TEST(job.subject.loss("heavy") < heavyLoss * 1.4);
    BOOST_TEST(job.subject.loss("light") < 1.5);
}

BOOST_AUTO_TEST_CASE(theTrendOfTheOwnLoadIsFollowed)
{
    swinging_job job;
    job.run(20, { { "heavy", heavyLoss } });
    for (int i = 0; i < 20; ++i) {
        job.run(1, { { "heavy", heavyLoss } });
        const double truth = 1.45 * 0.314 * std::cos(job.seconds * 0.314);
        BOOST_TEST(std::abs(job.subject.trend("job") - truth) < 0.35);
    }
}

BOOST_AUTO_TEST_CASE(anUnknownImageCountsAsDisturbing)
{
    const headroom_filter subject;
    BOOST_TEST(subject.loss("never seen") > 1.0);
}

// A hung worker reports latencies of minutes, which must not count as disturbance.
BOOST_AUTO_TEST_CASE(aWorkerThatStandsStillTeachesNothing)
{
    swinging_job job;
    job.run(20, { { "light", lightLoss } });
    headroom_sample hung;
    hung.job = "job";
    hung.image = "serving";
    hung.headroom = 0.001;
    hung.filling["light"] = 0.14;
    hung.at = instant(std::chrono::milliseconds(std::lround(job.seconds * 1'000)));
    for (int i = 0; i < 5; ++i)
        job.subject.observe(hung);
    BOOST_TEST(job.subject.loss("light") < 1.5);
}

// State entries of ended jobs are reused; otherwise the filter would grow with every job.
BOOST_AUTO_TEST_CASE(theEstimatesSurviveManyJobs)
{
    swinging_job job;
    job.run(20, { { "heavy", heavyLoss } });
    const double before = job.subject.loss("heavy");
    for (int i = 0; i < 200; ++i) {
        headroom_sample sample;
        sample.job = "job-" + std::to_string(i);
        sample.image = "serving";
        sample.headroom = 3;
        sample.at = instant(std::chrono::seconds(1'000 + 10 * i));
        job.subject.observe(sample);
    }
    BOOST_TEST(std::abs(job.subject.loss("heavy") - before) < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
