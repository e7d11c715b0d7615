#include "cell_generator.h"

#include "plantainpitch/model/error.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace plantainpitch;
using plantainpitch::test::cell_generator;

namespace {

struct random_stream
{
    cell_state state;
    std::vector<stored_batch> batches;
    std::vector<std::string> snapshots; ///< after each batch of the same index
    std::size_t accepted = 0;
    std::size_t records = 0;

    explicit random_stream(std::uint64_t seed, int length)
    {
        cell_generator generator(seed);
        for (int i = 0; i < length; ++i) {
            batches.push_back(generator.next(state));
            for (const fold_result &result : state.apply(batches.back())) {
                accepted += result.accepted ? 1 : 0;
                ++records;
            }
            snapshots.push_back(state.saveSnapshot());
        }
    }
};

/// Compares the indexes and counts with the tasks.
void checkIndexes(const cell_state &state)
{
    std::set<task_id> unplaced;
    std::map<std::string, std::vector<task_id>> held;
    for (const auto &[name, job] : state.jobs()) {
        std::uint32_t open = 0;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            const task_state &task = job.tasks[i];
            open += isFinal(task.phase) ? 0 : 1;
            if (isUnplaced(task.phase))
                unplaced.insert({ .job = name, .index = i });
            if (isHeld(task.phase))
                held[task.vm].push_back({ .job = name, .index = i });
        }
        BOOST_TEST_REQUIRE(job.openTasks == open);
    }
    BOOST_TEST_REQUIRE((state.unplacedTasks() == unplaced));
    for (int vm = 0; vm < 5; ++vm) {
        std::vector<task_id> &tasks = held["vm" + std::to_string(vm)];
        std::sort(tasks.begin(), tasks.end());
        BOOST_TEST_REQUIRE((state.tasksHeldBy("vm" + std::to_string(vm)) == tasks));
    }
}

} // namespace

// Guards against a snapshot that leaves out something on which the fold of later records depends.
BOOST_AUTO_TEST_CASE(anySnapshotPlusTheTailGivesTheSameState)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const random_stream stream(seed, 300);
            BOOST_TEST(stream.accepted > stream.records / 4);
            BOOST_TEST(stream.accepted < stream.records);
            for (std::size_t from = 0; from < stream.batches.size(); from += 7) {
                cell_state state;
                state.loadSnapshot(stream.snapshots[from], stream.batches[from].offset);
                checkIndexes(state);
                for (std::size_t i = from + 1; i < stream.batches.size(); ++i)
                    state.apply(stream.batches[i]);
                BOOST_TEST_REQUIRE(state.digest() == stream.state.digest());
                BOOST_TEST_REQUIRE(state.nextOffset() == stream.state.nextOffset());
                checkIndexes(state);
            }
        }
    }
}

// Guards against a fold that depends on how often or in which pieces the stream is delivered.
BOOST_AUTO_TEST_CASE(deliveringBatchesAgainChangesNothing)
{
    const random_stream stream(99, 300);
    cell_state state;
    for (std::size_t i = 0; i < stream.batches.size(); ++i) {
        state.apply(stream.batches[i]);
        BOOST_TEST_REQUIRE(state.apply(stream.batches[i / 2]).empty());
    }
    BOOST_TEST(state.digest() == stream.state.digest());
}

// Guards against damaged snapshots that are loaded, crash the process or take its memory.
BOOST_AUTO_TEST_CASE(damagedSnapshotsAreRefusedAndChangeNothing)
{
    const random_stream stream(7, 120);
    const std::string &whole = stream.snapshots.back();
    const std::uint64_t through = stream.batches.back().offset;
    cell_state state;
    state.loadSnapshot(stream.snapshots[10], stream.batches[10].offset);
    const std::uint64_t before = state.digest();
    for (std::size_t size = 0; size < whole.size(); ++size)
        BOOST_CHECK_THROW(state.loadSnapshot(whole.substr(0, size), through), error);
    BOOST_CHECK_THROW(state.loadSnapshot(whole + 'x', through), error);
    BOOST_CHECK_THROW(state.loadSnapshot(whole, through + 1), error);
    BOOST_TEST(state.digest() == before);
    std::mt19937_64 random(7);
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = whole;
        for (std::uint64_t n = 1 + random() % 3; n > 0; --n)
            damaged[random() % damaged.size()] = char(random());
        cell_state other;
        try {
            other.loadSnapshot(damaged, through);
            // What can be read has only one form.
            BOOST_TEST_REQUIRE((other.saveSnapshot() == damaged));
        } catch (const error &e) {
            BOOST_TEST_REQUIRE((e.kind() == error_kind::invalid_document));
        }
    }
}
