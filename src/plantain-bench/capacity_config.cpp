#include "capacity_loop.h"
#include "capacity_parts.h"
#include "slope_table.h"

#include <algorithm>
#include <ostream>

namespace plantainpitch {

namespace {

constexpr std::size_t documentBytes = 400;
constexpr int changes = 20;

/// Means of one change.
struct change_costs
{
    double bytes = 0;
    double messages = 0;
    double entryMs = 0; ///< above that of an idle entry
    double agentUs = 0; ///< of one agent, above that of an idle one
};

traffic updatesOf(const capacity_loop &loop)
{
    return loop.counts().byKind.at(message(config_update{}).index());
}

change_costs spread(std::size_t agents, int entities)
{
    capacity_loop loop(agents);
    for (int i = 0; i < entities; ++i)
        loop.publish("template-" + std::to_string(i), documentBytes);
    loop.run(std::chrono::seconds(2));
    const loop_counts idleFrom = loop.counts();
    loop.run(std::chrono::seconds(changes));
    const loop_counts from = loop.counts();
    const traffic updates = updatesOf(loop);
    for (int i = 0; i < changes; ++i) {
        loop.publish("changed-" + std::to_string(i), documentBytes);
        loop.run(std::chrono::seconds(1));
    }
    const loop_counts &to = loop.counts();
    const auto above = [](double before, double middle, double after) {
        return (after - middle - (middle - before)) / changes;
    };
    return { .bytes = static_cast<double>(updatesOf(loop).bytes - updates.bytes) / changes,
             .messages = static_cast<double>(updatesOf(loop).messages - updates.messages) / changes,
             .entryMs = above(idleFrom.entrySeconds, from.entrySeconds, to.entrySeconds) * 1e3,
             .agentUs = above(idleFrom.agentSeconds, from.agentSeconds, to.agentSeconds) * 1e6
                        / static_cast<double>(agents) };
}

struct sized_costs
{
    double size = 0;
    change_costs costs;
};

void printRows(std::ostream &out, const std::vector<sized_costs> &all, const std::string &per)
{
    const auto row = [&](const char *measure, const char *unit, double change_costs::*field) {
        std::vector<size_sample> samples;
        samples.reserve(all.size());
        for (const sized_costs &each : all)
            samples.push_back({ each.size, each.costs.*field });
        printSlope(out, measure, unit + per, samples);
    };
    row("bytes that the entry sends", "B per ", &change_costs::bytes);
    row("messages that the entry sends", "1 per ", &change_costs::messages);
    row("entry processor time above idle", "ms per ", &change_costs::entryMs);
    row("processor time of one agent above idle", "us per ", &change_costs::agentUs);
}

} // namespace

void measureConfigSpread(std::ostream &out)
{
    std::vector<sized_costs> byAgents;
    for (const std::size_t agents : { 10, 100, 1000 })
        byAgents.push_back({ static_cast<double>(agents), spread(agents, 0) });
    printSlopeHeader(out, "one changed template of 400 bytes; size: agents at the entry");
    printRows(out, byAgents, "agent");

    std::vector<sized_costs> byEntities;
    for (const int entities : { 100, 400, 1600 })
        byEntities.push_back({ static_cast<double>(entities), spread(1000, entities) });
    printSlopeHeader(out, "one changed template, 1,000 agents; size: configuration entities");
    printRows(out, byEntities, "entity");
}

} // namespace plantainpitch
