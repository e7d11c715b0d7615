#include "test_cell.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using plantainpitch::test::test_cell;

namespace {

constexpr std::int64_t hourMs = 3'600'000;

key_claimed claimOf(const std::string &key, std::uint64_t entry, std::int64_t hours)
{
    return { "a", key, entry, 5, 9, hours * hourMs };
}

} // namespace

// Guards against a second run of a non-idempotent request under the same key.
BOOST_AUTO_TEST_CASE(keyIsHeldUntilItsRequestIsProvenNotRun)
{
    test_cell cell;
    BOOST_TEST(cell.put(claimOf("k", 1, 1)).accepted);
    BOOST_TEST(!cell.put(claimOf("k", 2, 1)).accepted);
    BOOST_TEST(!cell.put(claimOf("k", 1, 1)).accepted);
    BOOST_TEST(!cell.put(key_released{ "a", "k", 2, 5 }).accepted);
    BOOST_TEST(!cell.put(key_released{ "a", "k", 1, 6 }).accepted);
    BOOST_TEST(cell.put(key_released{ "a", "k", 1, 5 }).accepted);
    BOOST_TEST(cell.state.findKey("a", "k") == nullptr);
    BOOST_TEST(cell.put(claimOf("k", 2, 1)).accepted);
    BOOST_TEST(cell.state.findKey("a", "k")->entry == 2U);
}

// Guards against a stored answer that is lost, replaced, or freed for another run.
BOOST_AUTO_TEST_CASE(finishedKeyKeepsItsAnswer)
{
    test_cell cell;
    cell.put(claimOf("k", 1, 1));
    key_finished done{ "a", "k", 2, 5, 201, "b" };
    BOOST_TEST(!cell.put(done).accepted);
    done.entry = 1;
    BOOST_TEST(cell.put(done).accepted);
    done.body = "other";
    BOOST_TEST(!cell.put(done).accepted);
    BOOST_TEST(!cell.put(key_released{ "a", "k", 1, 5 }).accepted);
    BOOST_TEST(cell.state.findKey("a", "k")->body == "b");
    // A body over 2 KB must not leave the key looking unfinished.
    cell.put(claimOf("big", 1, 1));
    done.key = "big";
    done.body = std::string(2049, 'x');
    BOOST_TEST(cell.put(done).accepted);
    BOOST_TEST(cell.state.findKey("a", "big")->finished);
    BOOST_TEST(!cell.state.findKey("a", "big")->bodyStored);
}

// Guards against one entry with a wrong clock that expires the keys of all, in either direction.
BOOST_AUTO_TEST_CASE(oneWrongClockExpiresNoKey)
{
    test_cell cell;
    cell.put(claimOf("k", 1, 100), 1);
    cell.put(claimOf("x", 2, 100'000), 2);
    cell.put(claimOf("y", 3, 101), 3);
    cell.put(claimOf("z", 2, 200'000), 2);
    BOOST_TEST(cell.state.findKey("a", "k") != nullptr);
    // Claimed by an entry whose clock is far behind, when the log knows the time.
    cell.put(claimOf("behind", 4, 0), 4);
    cell.put(claimOf("w", 3, 102), 3);
    BOOST_TEST(cell.state.findKey("a", "behind") != nullptr);
}

// Guards against keys that are never freed: 24 hours after the claim they go.
BOOST_AUTO_TEST_CASE(keysExpireByTheSecondHighestClaimTime)
{
    test_cell cell;
    cell.put(claimOf("k", 1, 100), 1);
    cell.put(claimOf("p", 1, 124), 1);
    cell.put(claimOf("q", 2, 124), 2);
    BOOST_TEST(cell.state.findKey("a", "k") != nullptr);
    cell.put(claimOf("r", 1, 125), 1);
    BOOST_TEST(cell.state.findKey("a", "k") != nullptr);
    cell.put(claimOf("s", 2, 125), 2);
    BOOST_TEST(cell.state.findKey("a", "k") == nullptr);
    BOOST_TEST(cell.state.findKey("a", "q") != nullptr);
    // Times that would overflow are refused and tell no time.
    key_claimed bad = claimOf("t", 2, 0);
    bad.claimedMs = std::numeric_limits<std::int64_t>::max();
    BOOST_TEST(!cell.put(bad).accepted);
    bad.claimedMs = std::numeric_limits<std::int64_t>::min();
    BOOST_TEST(!cell.put(bad).accepted);
}
