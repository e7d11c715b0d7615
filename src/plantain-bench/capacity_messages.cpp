#include "capacity_loop.h"
#include "capacity_parts.h"
#include "slope_table.h"

#include <iomanip>
#include <map>
#include <ostream>

namespace plantainpitch {

namespace {

constexpr double measuredSeconds = 20;

struct steady_costs
{
    double sentBytes = 0; ///< by an agent, a second
    double receivedBytes = 0;
    double sentMessages = 0;
    double receivedMessages = 0;
    double workerCalls = 0;
    double agentMs = 0; ///< processor time of one agent, a second
    double entryMs = 0; ///< of the entry, a second, all agents
};

struct traffic_kind
{
    const char *name;
    message example;
};

/// The kinds that agents and entries exchange without callers.
const std::vector<traffic_kind> &shownKinds()
{
    static const std::vector<traffic_kind> kinds{
        { "announce", announce{} },
        { "heartbeat", heartbeat{} },
        { "config_update", config_update{} },
        { "task_proposal", task_proposal{} },
        { "proposal_refused", proposal_refused{} },
        { "record_submit", record_submit{} },
        { "record_settled", record_settled{} },
        { "authority_request", authority_request{} },
        { "authority_grant", authority_grant{} },
    };
    return kinds;
}

steady_costs difference(const loop_counts &before, const loop_counts &after, std::size_t agents)
{
    const double scale = measuredSeconds * static_cast<double>(agents);
    const auto of = [scale](std::uint64_t from, std::uint64_t to) {
        return static_cast<double>(to - from) / scale;
    };
    return { .sentBytes = of(before.toEntry.bytes, after.toEntry.bytes),
             .receivedBytes = of(before.toAgents.bytes, after.toAgents.bytes),
             .sentMessages = of(before.toEntry.messages, after.toEntry.messages),
             .receivedMessages = of(before.toAgents.messages, after.toAgents.messages),
             .workerCalls = of(before.workerCalls, after.workerCalls),
             .agentMs = (after.agentSeconds - before.agentSeconds) * 1e3 / scale,
             .entryMs = (after.entrySeconds - before.entrySeconds) * 1e3 / measuredSeconds };
}

steady_costs steadyCosts(capacity_loop &loop, std::size_t agents)
{
    const loop_counts before = loop.counts();
    loop.run(std::chrono::seconds(static_cast<int>(measuredSeconds)));
    return difference(before, loop.counts(), agents);
}

void printKinds(std::ostream &out, const loop_counts &counts, std::size_t agents, std::size_t tasks)
{
    out << "  mean frame with " << agents << " agents, " << tasks << " tasks each, from the start:";
    for (const traffic_kind &kind : shownKinds()) {
        const traffic &seen = counts.byKind.at(kind.example.index());
        if (seen.messages != 0)
            out << "  " << kind.name << ' ' << seen.bytes / seen.messages << " B x "
                << seen.messages;
    }
    out << '\n';
}

/// Starts the tasks; the virtual time until all run is in the output.
void startTasks(std::ostream &out, capacity_loop &loop, std::size_t tasks)
{
    const double entryBefore = loop.counts().entrySeconds;
    loop.submitJobs(tasks);
    double waited = 0;
    constexpr double step = 0.1;
    constexpr double limit = 60;
    while (loop.runningTasks() < tasks && waited < limit) {
        loop.run(std::chrono::milliseconds(100));
        waited += step;
    }
    out << "  " << loop.runningTasks() << " of " << tasks << " tasks run after " << std::fixed
        << std::setprecision(1) << waited << " s of virtual time and "
        << loop.counts().entrySeconds - entryBefore << " s of the entry's processor time\n"
        << std::defaultfloat;
    loop.run(std::chrono::seconds(5));
}

using by_tasks = std::map<std::size_t, steady_costs>;

void printPerTask(std::ostream &out, const by_tasks &costs, std::size_t agents)
{
    const auto row = [&](const char *measure, const char *unit, double steady_costs::*field) {
        std::vector<size_sample> samples;
        samples.reserve(costs.size());
        for (const auto &[tasks, cost] : costs)
            samples.push_back({ static_cast<double>(tasks), cost.*field });
        printSlope(out, measure, unit, samples);
    };
    printSlopeHeader(out, std::to_string(agents)
                                  + " agents at one entry; size: running tasks of an agent");
    row("agent sends", "B/s per task", &steady_costs::sentBytes);
    row("agent receives", "B/s per task", &steady_costs::receivedBytes);
    row("messages sent", "1/s per task", &steady_costs::sentMessages);
    row("messages received", "1/s per task", &steady_costs::receivedMessages);
    row("calls to the worker", "1/s per task", &steady_costs::workerCalls);
    row("agent processor time", "ms/s per task", &steady_costs::agentMs);
    row("entry processor time, all agents", "ms/s per task", &steady_costs::entryMs);
}

void printPerAgent(std::ostream &out, const std::map<std::size_t, by_tasks> &costs,
                   std::size_t tasks)
{
    std::vector<size_sample> samples;
    samples.reserve(costs.size());
    for (const auto &[agents, byTasks] : costs)
        samples.push_back({ static_cast<double>(agents), byTasks.at(tasks).entryMs });
    printSlope(out, "entry processor time, " + std::to_string(tasks) + " tasks an agent",
               "ms/s per agent", samples);
}

} // namespace

void measureMessages(std::ostream &out)
{
    std::map<std::size_t, by_tasks> costs;
    for (const std::size_t agents : { 10, 100, 1000 }) {
        for (const std::size_t tasks : { 0, 10, 40 }) {
            capacity_loop loop(agents);
            if (tasks != 0)
                startTasks(out, loop, agents * tasks);
            costs[agents][tasks] = steadyCosts(loop, agents);
            printKinds(out, loop.counts(), agents, tasks);
        }
        printPerTask(out, costs[agents], agents);
    }
    printSlopeHeader(out, "one entry; size: agents");
    for (const std::size_t tasks : { 0, 10, 40 })
        printPerAgent(out, costs, tasks);
}

} // namespace plantainpitch
