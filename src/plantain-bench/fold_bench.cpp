#include "fold_bench.h"

#include "bench_meter.h"
#include "bench_report.h"
#include "fold_stream.h"

#include "plantainpitch/log/cell_state.h"

#include <iomanip>
#include <ostream>
#include <stdexcept>
#include <string>

namespace plantainpitch {

namespace {

struct fold_cost
{
    std::uint64_t records = 0;
    double seconds = 0;

    fold_cost &operator+=(const fold_cost &other)
    {
        records += other.records;
        seconds += other.seconds;
        return *this;
    }
};

/// Folds the batches; throws if a record is refused, because that would measure another path.
fold_cost fold(cell_state &state, const std::vector<stored_batch> &batches)
{
    fold_cost cost;
    bool allAccepted = true;
    const double begin = processorSeconds();
    for (const stored_batch &stored : batches) {
        const std::vector<fold_result> results = state.apply(stored);
        cost.records += results.size();
        for (const fold_result &result : results)
            allAccepted = allAccepted && result.accepted;
        allAccepted = allAccepted && results.size() == stored.batch.records.size();
    }
    cost.seconds = processorSeconds() - begin;
    if (!allAccepted)
        throw std::logic_error("a record of the benchmark was refused; correct fold_stream");
    return cost;
}

void print(std::ostream &out, const char *what, const fold_cost &cost)
{
    out << "  " << std::left << std::setw(34) << what << std::right << std::fixed
        << std::setprecision(2) << std::setw(8)
        << static_cast<double>(cost.records) / cost.seconds / 1e6 << " million records/s ("
        << cost.records << " records)\n";
}

void printSnapshot(std::ostream &out, const cell_state &state)
{
    double begin = processorSeconds();
    const std::string data = state.saveSnapshot();
    const double saveSeconds = processorSeconds() - begin;
    cell_state loaded;
    begin = processorSeconds();
    loaded.loadSnapshot(data, state.nextOffset() - 1);
    const double loadSeconds = processorSeconds() - begin;
    out << "  snapshot: " << std::setprecision(1) << static_cast<double>(data.size()) / 1e6
        << " MB, saved in " << saveSeconds * 1e3 << " ms, loaded in " << loadSeconds * 1e3
        << " ms\n";
}

/// Measures at a constant number of open tasks, as of a cell in operation.
void runAt(bench_report &report, std::uint64_t tasks)
{
    std::ostream &out = report.details();
    constexpr std::uint64_t chunk = 20'000;
    out << tasks << " open tasks:\n";
    cell_state state;
    // 650,000 tasks on 22,000 VMs (docs/design.md, section 1.6) are 30 tasks a VM.
    fold_stream stream(tasks / 30);
    const std::size_t before = heapBytes();
    const fold_cost submits = fold(state, stream.submit(tasks / fold_stream::tasksPerJob));
    const std::size_t pendingBytes = heapBytes() - before;
    fold_cost steady = fold(state, stream.claim());
    print(out, "submit, ten tasks a job", submits);
    print(out, "first claims", steady);
    out << "  memory: " << pendingBytes / tasks << " bytes a pending task, "
        << (heapBytes() - before) / tasks
        << " bytes a claimed task (a tenth of its job included)\n";

    steady = {};
    fold_cost moves;
    for (int i = 0; i < 10; ++i)
        moves += fold(state, stream.move(chunk));
    print(out, "release and claim of random tasks", moves);
    for (int i = 0; i < 10; ++i) {
        steady += fold(state, stream.submit(chunk / 10 / fold_stream::tasksPerJob));
        steady += fold(state, stream.claim());
        steady += fold(state, stream.finish(chunk / 10));
        steady += fold(state, stream.useKeys(chunk / 20));
    }
    print(out, "whole life of tasks, with keys", steady);
    const double rate = static_cast<double>(steady.records) / steady.seconds / 1e6;
    report.add("fold, million records/s, " + std::to_string(tasks) + " open tasks", std::nullopt,
               rate, ">= 1", rate >= 1);
    printSnapshot(out, state);
}

} // namespace

void runFoldBench(bench_report &report)
{
    for (const std::uint64_t tasks : { 10'000, 100'000, 400'000 })
        runAt(report, tasks);
}

} // namespace plantainpitch
