#include "bench_meter.h"
#include "capacity_parts.h"
#include "plantainpitch/policy/two_choice_routing.h"
#include "plantainpitch/role/task_dispatcher.h"
#include "slope_table.h"

#include <ostream>

namespace plantainpitch {

namespace {

double decisionNs(endpoint_number endpoints)
{
    constexpr int decisions = 200'000;
    two_choice_routing policy(1);
    instant now;
    for (endpoint_number i = 0; i < endpoints; ++i)
        policy.onReport(now, i, { .local = i % 4 == 0, .slots = 8, .running = i % 7 });
    const double begin = processorSeconds();
    for (int i = 0; i < decisions; ++i) {
        now += duration(20);
        const auto chosen = policy.choose(now, {}).value_or(0);
        policy.onDispatched(now, chosen);
        policy.onEnded(now, chosen, { .latency = duration(9000), .serviceTime = duration(8000) });
    }
    return (processorSeconds() - begin) * 1e9 / decisions;
}

void measureRouting(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const endpoint_number endpoints : { 100, 1000, 4000, 22'000 })
        samples.push_back({ static_cast<double>(endpoints), decisionNs(endpoints) });
    printSlopeHeader(out, "routing decision with its bookkeeping; size: endpoints");
    printSlope(out, "two_choice_routing", "ns per endpoint", samples);
}

/// Jobs of one pending task each.
cell_state pendingCell(std::size_t tasks)
{
    cell_state cell;
    for (std::size_t i = 0; i < tasks; ++i) {
        const job_submitted job{ .job = "disbursement-4-" + std::to_string(1'000'000'000 + i),
                                 .templateName = "weekly-disbursement",
                                 .account = "fondo-solidario-0042",
                                 .team = "payouts",
                                 .taskResources = { .processorsMilli = 500 } };
        cell.apply(
                { .offset = i, .batch = { .producer = 1, .sequence = i + 1, .records = { job } } });
    }
    return cell;
}

/// Milliseconds of one pass.
double passMs(std::size_t tasks, std::size_t vms, bool room)
{
    const cell_state cell = pendingCell(tasks);
    task_dispatcher dispatcher({ .entry = "entry-1" }, 1);
    instant now{ std::chrono::hours(1) };
    const resources capacity{ .processorsMilli = 32'000 };
    for (std::size_t i = 0; i < vms; ++i)
        dispatcher.onVmUpdated(now, { .connection = i + 1,
                                      .vm = "10.4.17." + std::to_string(i),
                                      .rack = "rack-" + std::to_string(i / 3),
                                      .capacity = capacity,
                                      .available = room ? capacity : resources{} });
    const double begin = processorSeconds();
    dispatcher.tick(now, cell, 1'900'000'000'000);
    return (processorSeconds() - begin) * 1e3;
}

void measurePass(std::ostream &out)
{
    for (const bool room : { true, false }) {
        const std::string state = room ? "all VMs free" : "all VMs full";
        printSlopeHeader(out, "dispatcher pass, " + state);
        std::vector<size_sample> byTasks;
        for (const std::size_t tasks : { 100, 1000, 10'000 })
            byTasks.push_back({ static_cast<double>(tasks), passMs(tasks, 1000, room) });
        printSlope(out, "1,000 VMs; size: pending tasks", "ms per task", byTasks);
        std::vector<size_sample> byVms;
        for (const std::size_t vms : { 100, 1000, 3667 })
            byVms.push_back({ static_cast<double>(vms), passMs(500, vms, room) });
        printSlope(out, "500 pending tasks; size: VMs", "ms per VM", byVms);
    }
}

void measureIdlePass(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const std::size_t vms : { 100, 1000, 3667 })
        samples.push_back({ static_cast<double>(vms), passMs(0, vms, true) });
    printSlopeHeader(out, "dispatcher pass without a pending task; size: VMs");
    printSlope(out, "pass", "ms per VM", samples);
}

} // namespace

void measureDecisions(std::ostream &out)
{
    measureRouting(out);
    measurePass(out);
    measureIdlePass(out);
}

} // namespace plantainpitch
