#include "test_batch.h"

#include "plantainpitch/log/config_state.h"
#include "plantainpitch/log/snapshot_digest.h"
#include "plantainpitch/log/snapshot_reader.h"
#include "plantainpitch/log/snapshot_writer.h"
#include "plantainpitch/model/error.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace plantainpitch;

namespace {

std::string textOf(std::size_t size, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text(size, ' ');
    std::generate(text.begin(), text.end(), [&] { return char(random()); });
    return text;
}

std::vector<snapshot_part> partsOf(std::uint64_t through, const std::string &data)
{
    std::vector<snapshot_part> parts;
    for (snapshot_writer writer(through, data); !writer.done();)
        parts.push_back(writer.next());
    return parts;
}

} // namespace

// Guards against parts that are too large for the log, and against text lost between parts.
BOOST_AUTO_TEST_CASE(partsGiveTheSnapshotBack)
{
    for (const std::size_t size : { 0, 1, 65'535, 65'536, 65'537, 200'000 }) {
        const std::string data = textOf(size, size);
        snapshot_reader reader;
        for (const snapshot_part &part : partsOf(7, data)) {
            BOOST_TEST(part.data.size() <= 65'536U);
            BOOST_TEST(reader.newest() == nullptr);
            reader.add(part);
        }
        BOOST_TEST_REQUIRE(reader.newest() != nullptr);
        BOOST_TEST((*reader.newest() == snapshot{ 7, snapshotDigest(data), data }));
    }
}

// Guards against a reader that mixes the parts of two snapshots or waits for one that never ends.
BOOST_AUTO_TEST_CASE(missingMixedAndRepeatedPartsAreTolerated)
{
    const std::string complete = textOf(200'000, 1);
    std::vector<snapshot_part> parts = partsOf(10, complete);
    const std::vector<snapshot_part> abandoned = partsOf(12, textOf(300'000, 2));
    const std::vector<snapshot_part> older = partsOf(5, textOf(100'000, 3));
    parts.insert(parts.end(), abandoned.begin() + 1, abandoned.end());
    parts.insert(parts.end(), older.begin(), older.end());
    parts.insert(parts.end(), parts.begin(), parts.begin() + 3);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        std::shuffle(parts.begin(), parts.end(), std::mt19937_64(seed));
        snapshot_reader reader;
        for (const snapshot_part &part : parts)
            reader.add(part);
        BOOST_TEST_REQUIRE(reader.newest() != nullptr);
        BOOST_TEST(reader.newest()->through == 10U);
        BOOST_TEST((reader.newest()->data == complete));
        BOOST_TEST(reader.refused() == 0U);
    }
}

// Guards against loading a damaged snapshot, and against one that blocks an intact repetition.
BOOST_AUTO_TEST_CASE(wrongDigestIsRefusedAndARepetitionAccepted)
{
    const std::vector<snapshot_part> parts = partsOf(10, textOf(100'000, 1));
    snapshot_reader reader;
    snapshot_part damaged = parts[0];
    damaged.data[5] = char(damaged.data[5] + 1);
    reader.add(damaged);
    reader.add(parts[1]);
    BOOST_TEST(reader.newest() == nullptr);
    BOOST_TEST(reader.refused() == 1U);
    reader.add({ .parts = 0 });
    reader.add({ .part = 2, .parts = 2 });
    reader.add({ .parts = 0xFFFFFFFF });
    reader.add({ .data = std::string(65'537, 'x') });
    BOOST_TEST(reader.refused() == 5U);
    reader.add(parts[0]);
    reader.add(parts[1]);
    BOOST_TEST(reader.newest() != nullptr);
}

// Guards against memory that grows with snapshots that were begun and never completed.
BOOST_AUTO_TEST_CASE(newerSnapshotsReplaceUnfinishedOnes)
{
    snapshot_reader reader;
    const std::vector<snapshot_part> first = partsOf(1, textOf(100'000, 1));
    reader.add(first[0]);
    for (std::uint64_t through = 2; through < 10; ++through)
        reader.add(partsOf(through, textOf(100'000, through))[0]);
    reader.add(first[1]);
    BOOST_TEST(reader.newest() == nullptr);
    reader.add(partsOf(9, textOf(100'000, 9))[1]);
    BOOST_TEST(reader.newest()->through == 9U);
}

// Guards against configuration that is lost or reverted by way of a snapshot.
BOOST_AUTO_TEST_CASE(configurationSurvivesASnapshot)
{
    config_state state;
    const auto apply = [](config_state &to, std::uint64_t offset, const config_change &change) {
        return to.apply(test::batchAt(offset, { change }));
    };
    const std::string document = R"({"version":1,"name":"t","kind":"batch","slots":3})";
    const log_position created = apply(state, 0, { .name = "t", .document = document })[0].position;
    apply(state, 1, { .name = "u", .document = R"({"version":1,"name":"u","kind":"batch"})" });
    apply(state, 2, { .name = "u", .baseRevision = log_position::of(1, 0), .removed = true });
    const std::string data = state.saveSnapshot();
    config_state loaded;
    loaded.loadSnapshot(data, 2);
    BOOST_TEST(loaded.digest() == state.digest());
    BOOST_TEST((loaded.revision() == state.revision()));
    BOOST_TEST((loaded.changedSince({}) == state.changedSince({})));
    BOOST_TEST(loaded.findTemplate("t")->slots == 3U);
    BOOST_TEST(loaded.findTemplate("u") == nullptr);
    const config_change next{ .name = "t", .baseRevision = created, .removed = true };
    BOOST_TEST(apply(loaded, 3, next)[0].accepted);
    // A copy of a batch that the snapshot covers.
    BOOST_TEST(loaded.apply({ 4, { 1, 3, { next } } }).empty());
    for (std::size_t size = 0; size < data.size(); ++size)
        BOOST_CHECK_THROW(loaded.loadSnapshot(data.substr(0, size), 2), error);
    BOOST_TEST(loaded.findTemplate("t") == nullptr);
}
