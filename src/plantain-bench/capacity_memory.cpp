#include "bench_meter.h"
#include "capacity_loop.h"
#include "capacity_parts.h"
#include "fold_stream.h"
#include "slope_table.h"

#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/log/config_state.h"
#include "plantainpitch/role/request_router.h"
#include "plantainpitch/role/task_dispatcher.h"

#include <ostream>

namespace plantainpitch {

namespace {

double grownSince(std::size_t before)
{
    return static_cast<double>(heapBytes()) - static_cast<double>(before);
}

void fold(cell_state &state, const std::vector<stored_batch> &batches)
{
    for (const stored_batch &stored : batches)
        state.apply(stored);
}

void measureCell(std::ostream &out)
{
    std::vector<size_sample> claimed;
    std::vector<size_sample> finished;
    for (const std::uint64_t tasks : { 10'000, 50'000, 200'000 }) {
        const std::size_t before = heapBytes();
        cell_state state;
        fold_stream stream(tasks / 30);
        fold(state, stream.submit(tasks / fold_stream::tasksPerJob));
        fold(state, stream.claim());
        const auto streamBytes = static_cast<double>(tasks * sizeof(log_position));
        const auto size = static_cast<double>(tasks);
        claimed.push_back({ size, grownSince(before) - streamBytes });
        fold(state, stream.finish(tasks));
        finished.push_back({ size, grownSince(before) - streamBytes });
    }
    printSlope(out, "cell_state, claimed task, 10 a job", "B per task", claimed);
    printSlope(out, "cell_state, finished task, 10 a job", "B per task", finished);
}

/// Jobs of \a tasksPerJob pending tasks.
void measureJobs(std::ostream &out, std::uint32_t tasksPerJob)
{
    std::vector<size_sample> samples;
    for (const std::uint64_t jobs : { 10'000, 30'000, 100'000 }) {
        const std::size_t before = heapBytes();
        cell_state state;
        for (std::uint64_t i = 0; i < jobs; ++i) {
            const job_submitted job{ .job = "disbursement-4-" + std::to_string(1'000'000'000 + i),
                                     .templateName = "weekly-disbursement",
                                     .account = "fondo-solidario-0042",
                                     .team = "payouts",
                                     .taskCount = tasksPerJob,
                                     .command = "split --fund 0042 --week 49" };
            state.apply({ .offset = i,
                          .batch = { .producer = 1, .sequence = i + 1, .records = { job } } });
        }
        samples.push_back({ static_cast<double>(jobs), grownSince(before) });
    }
    printSlope(out, "cell_state, job of " + std::to_string(tasksPerJob) + " pending", "B per job",
               samples);
}

void measureKeys(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const std::uint64_t keys : { 10'000, 50'000, 200'000 }) {
        const std::size_t before = heapBytes();
        cell_state state;
        fold_stream stream(1);
        fold(state, stream.useKeys(keys));
        samples.push_back({ static_cast<double>(keys), grownSince(before) });
    }
    printSlope(out, "cell_state, finished key, answer of 41 bytes", "B per key", samples);
}

void measureConfig(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const std::uint64_t entities : { 1000, 5000, 20'000 }) {
        const std::size_t before = heapBytes();
        config_state state;
        for (std::uint64_t i = 1; i <= entities; ++i) {
            const std::string name = "template-" + std::to_string(i);
            state.applyEntity({ .name = name,
                                .revision = log_position::of(i, 0),
                                .document = R"({"version":1,"name":")" + name
                                            + R"(","kind":"batch","command":")"
                                            + std::string(330, 'x') + R"("})" });
        }
        samples.push_back({ static_cast<double>(entities), grownSince(before) });
    }
    printSlope(out, "config_state, template of 400 bytes", "B per entity", samples);
}

void measureEndpoints(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const std::uint64_t endpoints : { 100, 1000, 4000 }) {
        const std::size_t before = heapBytes();
        request_router router({ .entry = 1, .dataCentre = "dc-1" }, 1);
        for (std::uint64_t i = 1; i <= endpoints; ++i)
            router.onEndpoint({}, { .connection = i,
                                    .vm = "10.4.17." + std::to_string(i),
                                    .dataCentre = "dc-1",
                                    .rack = "rack-17",
                                    .incarnation = i,
                                    .templateName = "strike-payout",
                                    .slots = 8 });
        samples.push_back({ static_cast<double>(endpoints), grownSince(before) });
    }
    printSlope(out, "request_router of one shard, endpoint", "B per endpoint", samples);
}

/// What the dispatcher keeps for a claimed task, besides the fold.
void measureClaimIndex(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const std::uint64_t tasks : { 10'000, 50'000, 200'000 }) {
        cell_state state;
        fold_stream stream(tasks / 30);
        fold(state, stream.submit(tasks / fold_stream::tasksPerJob));
        fold(state, stream.claim());
        const std::size_t before = heapBytes();
        task_dispatcher dispatcher({ .entry = "entry-1" }, 1);
        dispatcher.onReset({}, state);
        samples.push_back({ static_cast<double>(tasks), grownSince(before) });
    }
    printSlope(out, "task_dispatcher, claimed task, 10 a job", "B per task", samples);
}

/// Records that an entry keeps for its peers (stream_follower, at most 50,000).
void measureTail(std::ostream &out)
{
    std::vector<size_sample> samples;
    for (const std::uint64_t tasks : { 10'000, 20'000, 50'000 }) {
        fold_stream stream(tasks / 30);
        stream.submit(tasks / fold_stream::tasksPerJob);
        const std::size_t before = heapBytes();
        const std::vector<stored_batch> tail = stream.claim();
        samples.push_back({ static_cast<double>(tasks), grownSince(before) });
    }
    printSlope(out, "tail for peers, claim record", "B per record", samples);
}

/// Memory of the agents and of the entry: what the heap shrinks by when they end.
void measureRoles(std::ostream &out)
{
    std::vector<size_sample> entry;
    for (const std::size_t agents : { 10, 100, 1000 }) {
        capacity_loop loop(agents);
        const std::size_t before = heapBytes();
        loop.dropEntry();
        entry.push_back({ static_cast<double>(agents), -grownSince(before) });
    }
    printSlope(out, "entry_role, idle agent connected", "B per agent", entry);

    constexpr std::size_t agents = 100;
    std::vector<size_sample> holder;
    for (const std::size_t tasks : { 0, 10, 40 }) {
        capacity_loop loop(agents);
        loop.submitJobs(agents * tasks);
        loop.run(std::chrono::seconds(10));
        const double held = static_cast<double>(loop.runningTasks()) / agents;
        const std::size_t before = heapBytes();
        loop.dropAgents();
        holder.push_back({ held, -grownSince(before) / agents });
    }
    printSlope(out, "agent_role, running task", "B per task", holder);
}

} // namespace

void measureMemory(std::ostream &out)
{
    printSlopeHeader(out, "memory (mallinfo2)");
    measureCell(out);
    measureJobs(out, 1);
    measureJobs(out, 11);
    measureKeys(out);
    measureConfig(out);
    measureEndpoints(out);
    measureClaimIndex(out);
    measureTail(out);
    measureRoles(out);
}

void measureSnapshots(std::ostream &out)
{
    std::vector<size_sample> bytes;
    std::vector<size_sample> save;
    std::vector<size_sample> load;
    for (const std::uint64_t tasks : { 10'000, 50'000, 200'000 }) {
        cell_state state;
        fold_stream stream(tasks / 30);
        fold(state, stream.submit(tasks / fold_stream::tasksPerJob));
        fold(state, stream.claim());
        const auto size = static_cast<double>(tasks);
        double begin = processorSeconds();
        const std::string data = state.saveSnapshot();
        save.push_back({ size, (processorSeconds() - begin) * 1e6 });
        cell_state loaded;
        begin = processorSeconds();
        loaded.loadSnapshot(data, state.nextOffset() - 1);
        load.push_back({ size, (processorSeconds() - begin) * 1e6 });
        bytes.push_back({ size, static_cast<double>(data.size()) });
    }
    printSlopeHeader(out, "snapshot of a cell; size: claimed tasks, 10 a job");
    printSlope(out, "bytes", "B per task", bytes);
    printSlope(out, "time to save", "us per task", save);
    printSlope(out, "time to load", "us per task", load);
}

} // namespace plantainpitch
