#include "plantainpitch/log/producer_window.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

struct window_reader
{
    producer_window window;

    bool read(std::uint64_t offset, std::uint64_t producer, std::uint64_t sequence)
    {
        window.forgetOld(offset);
        return window.admit({ offset, { producer, sequence, {} } });
    }
};

} // namespace

// Guards against folding a batch twice, whether the copy comes at once, late, or after others.
BOOST_AUTO_TEST_CASE(repeatsOfABatchAreNotAdmitted)
{
    window_reader reader;
    BOOST_TEST(reader.read(0, 1, 1));
    BOOST_TEST(!reader.read(1, 1, 1));
    BOOST_TEST(reader.read(2, 2, 1));
    BOOST_TEST(reader.read(3, 1, 3));
    BOOST_TEST(!reader.read(4, 1, 1));
    BOOST_TEST(!reader.read(5, 1, 3));
    BOOST_TEST(!reader.read(6, 3, 0));
    const std::vector<log_record> tooMany(log_position::maxBatchRecords + 1);
    BOOST_TEST(!reader.window.admit({ 7, { 3, 8, tooMany } }));
}

// Guards against a late copy that is folded because its producer was forgotten, and against
// memory that grows with every process that ever appended.
BOOST_AUTO_TEST_CASE(forgottenProducerCannotRepeatABatch)
{
    window_reader reader;
    const std::uint64_t end = 3 * producer_window::windowOffsets;
    BOOST_TEST(reader.read(0, 1, 1));
    std::size_t most = 0;
    for (std::uint64_t offset = 1; offset < end; ++offset) {
        reader.read(offset, 1000 + offset, offset + 1);
        most = std::max(most, reader.window.producers().size());
    }
    BOOST_TEST(!reader.window.contains(1));
    BOOST_TEST(most < producer_window::windowOffsets + 5000);
    BOOST_TEST(!reader.read(end, 1, 1));
    // The same process appends again after a long pause, with the end of the stream that it knows.
    BOOST_TEST(reader.read(end + 1, 1, end + 1));
}

// Guards against a rule that gives another result just before and just after forgetting.
BOOST_AUTO_TEST_CASE(batchBeyondTheWindowIsStaleBeforeItsProducerIsForgotten)
{
    constexpr std::uint64_t window = producer_window::windowOffsets;
    BOOST_TEST(!producer_window::isStale(1, window));
    BOOST_TEST(producer_window::isStale(1, window + 1));
    BOOST_TEST(!producer_window::isStale(500, 3));
    window_reader reader;
    BOOST_TEST(reader.read(window, 1, 1));
    BOOST_TEST(!reader.read(window + 10, 2, 5));
    BOOST_TEST(reader.read(window + 11, 2, 20));
}
