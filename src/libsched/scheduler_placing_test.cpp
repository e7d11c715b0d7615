#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>

using namespace plantainpitch;
using sched::job_state;
using test::fleet_model;
using test::requireNoViolations;

namespace {

/// Counts how often it is asked whether a worker admits a task.
class counting_placement : public sched::isolating_placement
{
public:
    using sched::isolating_placement::isolating_placement;

    [[nodiscard]] bool admits(const sched::worker &candidate, const sched::step_spec &step,
                              const sched::placement_terms &terms) const override
    {
        ++asked;
        return isolating_placement::admits(candidate, step, terms);
    }

    mutable std::size_t asked = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_placing)

// Guards against passes that use up the processor of the owner in a burst on a full fleet: each
// waiting job looked at all workers, although one that asked no more had found none.
BOOST_AUTO_TEST_CASE(aPassOnAFullFleetLooksAtTheWorkersOnceForJobsThatAskTheSame)
{
    constexpr std::size_t nodes = 10;
    constexpr std::size_t jobs = 100;
    fleet_model model(nodes);
    const counting_placement placement(model.disturbances);
    model.owner.emplace(sched::scheduler_options{ .epoch = ++model.epoch }, placement, model.order,
                        model.disturbances);
    model.owner->setConfig(model.config);
    model.owner->finishLoading(model.now(), 0);
    model.run(1'000);
    for (std::size_t i = 0; i < jobs; ++i) {
        auto call = model.submission("f" + std::to_string(i), 4, 3'000);
        call.submitted->spec->steps[0]->fills = true;
        model.send(call);
    }
    model.run(200);
    placement.asked = 0;
    std::size_t most = 0; // in a step of the model, which has one pass at most
    for (int i = 0; i < 100; ++i) {
        model.step();
        most = std::max(most, std::exchange(placement.asked, 0));
    }
    BOOST_TEST(most > 0U);
    // For the tasks that the pass starts, one job that fits nowhere, and log lines.
    BOOST_TEST(most <= 12 * nodes);
    requireNoViolations(model);
}

// Guards against a job that waits because a larger one found no place.
BOOST_AUTO_TEST_CASE(aSmallerJobIsPlacedWhereALargerOneFitsNowhere)
{
    fleet_model model(2);
    model.run(1'000);
    model.send(model.submission("filler", 2, 3'000));
    model.run(100);
    model.send(model.submission("large", 1, 2'000));
    model.send(model.submission("small", 2, 1'000));
    model.run(200);
    BOOST_TEST((model.shown("large") == job_state::queued));
    BOOST_TEST((model.shown("small") != job_state::queued));
    requireNoViolations(model);
}

BOOST_AUTO_TEST_SUITE_END()
