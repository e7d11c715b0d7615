#include "plantainpitch/policy/evict_on_violation.h"
#include "plantainpitch/policy/first_come_order.h"
#include "plantainpitch/policy/first_fit_placement.h"
#include "plantainpitch/policy/interference_placement.h"
#include "plantainpitch/policy/lagged_throttle.h"
#include "plantainpitch/policy/learned_interference.h"
#include "plantainpitch/policy/learned_size.h"
#include "plantainpitch/policy/slack_order.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

constexpr std::int64_t secondUs = 1'000'000;

placement_vm makeVm(const std::string &name, const std::string &service, std::int64_t available)
{
    return { .vm = name,
             .rack = name,
             .available = { .processorsMilli = available },
             .serviceTemplate = service,
             .serviceLoad = 0.5 };
}

const auto anyVm = [](const placement_vm &) { return true; };
const auto noTasksInRack = [](const std::string &) { return std::size_t{ 0 }; };

} // namespace

// Guards against urgent jobs that wait behind others, and against missed deadlines when the
// declared run time is ten times too short.
BOOST_AUTO_TEST_CASE(slackUsesLearnedRunTimes)
{
    learned_size sizes;
    for (int i = 0; i < 5; ++i)
        sizes.onFinished("slow", 100'000);
    const std::vector<batch_candidate> jobs{
        { .job = "a",
          .templateName = "fast",
          .deadlineMs = 60'000,
          .expectedRunTimeMs = 10'000,
          .waitingTasks = 1 },
        { .job = "b",
          .templateName = "slow",
          .deadlineMs = 120'000,
          .expectedRunTimeMs = 10'000,
          .waitingTasks = 1 },
        { .job = "c", .templateName = "fast", .taskPriority = priority::urgent, .waitingTasks = 1 },
    };
    const auto choices = slack_order(sizes).order(jobs, {}, 0);
    BOOST_REQUIRE(choices.size() == 3U);
    BOOST_TEST(choices[0].candidate == 2U);
    BOOST_TEST(choices[1].candidate == 1U);
    BOOST_TEST(first_come_order().order(jobs, {}, 0)[0].candidate == 0U);
}

// Guards against a team that exceeds its quota by submitting several jobs.
BOOST_AUTO_TEST_CASE(quotasHoldAcrossJobs)
{
    const learned_size sizes;
    const std::vector<batch_candidate> jobs{ { .job = "a", .team = "x", .waitingTasks = 3 },
                                             { .job = "b", .team = "x", .waitingTasks = 3 },
                                             { .job = "c", .team = "y", .waitingTasks = 2 } };
    const auto choices =
            slack_order(sizes).order(jobs, { { "x", { .running = 1, .quota = 5 } } }, 0);
    BOOST_REQUIRE(choices.size() == 3U);
    BOOST_TEST(choices[0].maxTasks == 3U);
    BOOST_TEST(choices[1].maxTasks == 1U);
    BOOST_TEST(choices[2].maxTasks == 2U);
}

// Guards against an estimate based on a single outlier.
BOOST_AUTO_TEST_CASE(sizesNeedSeveralObservations)
{
    learned_size sizes;
    sizes.onUsage("t", { .processorsMilli = 9000, .memoryBytes = 50 });
    BOOST_TEST(sizes.size("t", { .processorsMilli = 1000 }).processorsMilli == 1000);
    for (int i = 0; i < 2; ++i)
        sizes.onUsage("t", { .processorsMilli = 9000, .memoryBytes = 20 });
    BOOST_TEST(sizes.size("t", { .processorsMilli = 1000 }).processorsMilli == 9000);
    BOOST_TEST(sizes.size("t", {}).memoryBytes == 50);
}

// Guards against placing a task on a VM with a service that it slows down, or where it does not
// fit.
BOOST_AUTO_TEST_CASE(placementAvoidsLearnedInterference)
{
    learned_interference model;
    for (int i = 0; i < 100; ++i) {
        for (const char *service : { "calm", "sensitive" }) {
            const bool sensitive = service == std::string("sensitive");
            model.observe({ .service = service, .load = 0.5, .latencyRatio = 0.4 });
            model.observe({ .service = service,
                            .load = 0.5,
                            .batch = { { "noisy", 2 } },
                            .latencyRatio = sensitive ? 1.4 : 0.42 });
        }
    }
    BOOST_TEST(model.addedLatencyRatio("sensitive", 0.5, { { "noisy", 1 } }) > 0.4);
    BOOST_TEST(model.addedLatencyRatio("calm", 0.5, { { "noisy", 1 } }) < 0.05);
    const std::vector<placement_vm> vms{ makeVm("a", "sensitive", 4000), makeVm("b", "calm", 4000),
                                         makeVm("c", "calm", 10) };
    auto loaded = vms;
    for (placement_vm &vm : loaded)
        vm.batchTemplates["noisy"] = 1;
    interference_placement placement(model, weighting::tail_latency);
    const placement_request request{ .templateName = "noisy",
                                     .needed = { .processorsMilli = 1000 } };
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(*placement.choose(request, loaded, anyVm, noTasksInRack) == 1U);
    BOOST_TEST(*first_fit_placement().choose(request, vms, anyVm, noTasksInRack) == 0U);
    BOOST_TEST(!placement.choose({ .needed = { .processorsMilli = 5000 } }, vms, anyVm,
                                 noTasksInRack));
    const auto tasksInRack = [](const std::string &rack) {
        return std::size_t{ rack == "b" ? 99U : 0U };
    };
    BOOST_TEST(*placement.choose(request, loaded, anyVm, tasksInRack) == 0U); // spreads over racks
}

// Guards against repeated throttling by late samples from before the share was lowered.
BOOST_AUTO_TEST_CASE(lateSamplesAreAttributedToTheirShare)
{
    lagged_throttle throttle({});
    std::int64_t now = 0;
    for (; now < 60 * secondUs; now += secondUs) {
        throttle.onSample(
                { .fromUs = now - 3 * secondUs, .toUs = now - 2 * secondUs, .latencyRatio = 0.3 });
        throttle.decide(now, 1);
    }
    BOOST_TEST(throttle.decide(now, 1).batchShare > 0.95);
    double lowest = 1;
    for (int i = 0; i < 3; ++i, now += secondUs) { // periods before the share was lowered
        throttle.onSample(
                { .fromUs = now - 4 * secondUs, .toUs = now - 3 * secondUs, .latencyRatio = 1.2 });
        lowest = std::min(lowest, throttle.decide(now, 1).batchShare);
    }
    BOOST_TEST(lowest > 0.6);
    BOOST_TEST(lowest < 0.75);
    throttle.onSample({ .fromUs = now - secondUs, .toUs = now, .latencyRatio = 0.84 });
    const double heldShare = throttle.decide(now, 1).batchShare;
    BOOST_TEST(throttle.decide(now + secondUs, 1).batchShare == heldShare); // hysteresis
    BOOST_TEST(throttle.decide(now + 2 * secondUs, 0.1).batchShare == 0.1); // share limit
}

// Guards against evictions before the share is at its minimum, and beyond the budget.
BOOST_AUTO_TEST_CASE(evictionOnlyAfterThrottlingAndWithinBudget)
{
    lagged_throttle throttle({});
    evict_on_violation baseline;
    int evictions = 0;
    int baselineEvictions = 0;
    for (std::int64_t now = 0; now < 300 * secondUs; now += secondUs) {
        const latency_sample sample{ .fromUs = now - 2 * secondUs,
                                     .toUs = now - secondUs,
                                     .latencyRatio = 1.5 };
        throttle.onSample(sample);
        baseline.onSample(sample);
        const bool evict = throttle.decide(now, 1).evict;
        BOOST_TEST(!(evict && now < 4 * secondUs));
        evictions += evict ? 1 : 0;
        baselineEvictions += baseline.decide(now, 1).evict ? 1 : 0;
    }
    BOOST_TEST(evictions == 1);
    BOOST_TEST(baselineEvictions == 300);
}
