#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using test::fleet_model;

namespace {

/// Admits no long-running task anywhere, and counts how often it is asked.
class counting_placement : public sched::isolating_placement
{
public:
    using sched::isolating_placement::isolating_placement;

    [[nodiscard]] bool admits(const sched::worker &candidate, const sched::step_spec &step,
                              const sched::placement_terms &terms) const override
    {
        ++asked;
        return !step.longRunning && isolating_placement::admits(candidate, step, terms);
    }

    mutable std::size_t asked = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_long_running)

// Guards against passes that take seconds: each of thousands of waiting tasks of a step looked at
// all workers, although the first one had found none.
BOOST_AUTO_TEST_CASE(aPassLooksAtTheWorkersOnceForAllOverdueTasksOfAStep)
{
    constexpr std::size_t nodes = 4;
    fleet_model model(nodes);
    const counting_placement placement(model.disturbances);
    model.owner.emplace(sched::scheduler_options{ .epoch = ++model.epoch }, placement, model.order,
                        model.disturbances);
    model.owner->setConfig(model.config);
    model.owner->finishLoading(model.now(), 0);
    model.run(1'000);
    auto call = model.submission("service", 2'000, 100);
    call.submitted->spec->steps[0]->longRunning = true;
    model.send(call);
    model.run(4'000); // all tasks are overdue, and room is held on as many workers as may be
    placement.asked = 0;
    std::size_t most = 0; // in a step of the model, which has one pass at most
    for (int i = 0; i < 100; ++i) {
        model.step();
        most = std::max(most, std::exchange(placement.asked, 0));
    }
    BOOST_TEST(most > 0U);
    // For the overdue tasks, the held room, the normal pass, and log lines.
    BOOST_TEST(most <= 10 * nodes);
}

BOOST_AUTO_TEST_SUITE_END()
