#include "matrix_case.h"

#include <stdexcept>

namespace plantainpitch::matrix {

namespace {

constexpr duration warmUp = std::chrono::seconds(4);
constexpr duration activeTime = std::chrono::seconds(22);
/// Longer than any authority term, revocation wait and retry together.
constexpr duration quietTime = std::chrono::seconds(40);

case_result collect(world &target, workload &load, bool struck)
{
    case_result result;
    result.struck = struck;
    result.violations = target.watch.violations();
    result.requests = load.requests();
    result.answered = target.watch.outcomes(outcome_kind::answered);
    result.finishedTasks = target.watch.finishedTasks();
    result.virtualMs = target.queue.now().time_since_epoch().count() / 1000 - 3'600'000;
    return result;
}

/// Runs the rest of a world; an invariant check inside the program counts as a violation.
case_result runToEnd(world &target, workload &load, duration active, const bool &struck)
{
    try {
        target.run(active);
        load.stop();
        target.run(quietTime);
        load.finish();
    } catch (const std::logic_error &problem) {
        case_result result = collect(target, load, struck);
        result.violations.emplace_back(problem.what());
        return result;
    }
    return collect(target, load, struck);
}

} // namespace

std::string matrix_case::name() const
{
    std::string text = allSteps()[step].name + "/" + allFaults()[fault].name;
    if (secondFault)
        text += "+" + allFaults()[*secondFault].name;
    return text + "/" + std::to_string(seed);
}

case_result runCase(const matrix_case &what)
{
    world target({ .seed = what.seed });
    workload load(target);
    load.start();
    if (!allSteps()[what.step].atStart)
        target.run(warmUp);
    bool struck = false;
    // The second occurrence strikes at an odd time between other work; faults strike before the
    // action takes effect or right after it, depending on the seed.
    int remaining = 2;
    target.tap = [&](node &actor, const action &item) {
        if (struck || !allSteps()[what.step].matches(actor, item) || --remaining > 0)
            return;
        struck = true;
        const auto strike = [&, actorNode = &actor] {
            allFaults()[what.fault].strike(target, load, *actorNode);
            if (what.secondFault)
                target.queue.after(
                        std::chrono::milliseconds(target.random() % 3000), [&, actorNode] {
                            allFaults()[*what.secondFault].strike(target, load, *actorNode);
                        });
        };
        if (what.seed % 2 == 0)
            target.queue.after(duration(), strike);
        else
            strike();
    };
    return runToEnd(target, load, activeTime, struck);
}

case_result runRandom(std::uint64_t seed, duration time, std::size_t faults)
{
    world target({ .seed = seed, .entries = 2 + seed % 2, .agents = 3 + seed % 3 });
    workload load(target);
    load.start();
    target.run(warmUp);
    for (std::size_t i = 0; i < faults; ++i) {
        const duration at(target.random() % static_cast<std::uint64_t>(time.count()));
        target.queue.after(at, [&] {
            const std::size_t all = target.entries.size() + target.agents.size();
            const std::size_t pick = target.random() % all;
            node &actor = pick < target.entries.size()
                                  ? *target.entries[pick]
                                  : *target.agents[pick - target.entries.size()];
            const auto &list = allFaults();
            list[target.random() % list.size()].strike(target, load, actor);
        });
    }
    const bool struck = true;
    return runToEnd(target, load, time, struck);
}

} // namespace plantainpitch::matrix
