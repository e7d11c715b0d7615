#include "plantainpitch/fleet/member_dialer.h"

#include "plantainpitch/fleet/member_endpoint.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace plantainpitch;

namespace {

/// Returns a port of the loopback interface at which nothing listens.
std::uint16_t freePort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

} // namespace

// Guards against an entry of another writer that renames a connected agent: the owner took its
// reports for those of another one, and counted a further agent.
BOOST_AUTO_TEST_CASE(anEntryDoesNotRenameAConnectedMember)
{
    boost::asio::io_context context;
    const std::uint16_t port = freePort();
    fleet::member_endpoint endpoint(
            context, { .address = "127.0.0.1", .port = port, .node = "agent", .isAgent = true },
            { .opened = [](const sched::owner_hello & /*hello*/) { return true; },
              .ready = [] {},
              .received = [](const sched::message & /*content*/) {},
              .closed = [] {},
              .failed = [](const std::string & /*problem*/) {} });
    endpoint.start();
    bool opened = false;
    fleet::member_dialer dialer(
            context, {},
            { .opened = [&opened](const sched::member & /*member*/) { opened = true; },
              .closed = [](const sched::member & /*member*/) {},
              .received = [](const sched::member & /*member*/,
                             const sched::message & /*content*/) {},
              .removed = [](const sched::member & /*member*/) {},
              .failed = [](const std::string & /*problem*/) {} });
    sched::member entry;
    entry.node = "agent";
    entry.address = "127.0.0.1:" + std::to_string(port);
    entry.isAgent = true;
    dialer.add(entry);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!opened && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(100));
    BOOST_REQUIRE(opened);
    entry.node = "other";
    dialer.add(entry);
    const std::vector<std::string> expected = { "agent" };
    BOOST_TEST(dialer.agents() == expected, boost::test_tools::per_element());
    endpoint.close();
}

// Guards against agents that have left and still count for the majority that an owner needs: more
// than half of them gone, nothing that ran there was started elsewhere for 20 s.
BOOST_AUTO_TEST_CASE(aMemberThatHasLeftCountsNoMoreOnceItsConnectionHasClosed)
{
    boost::asio::io_context context;
    const std::uint16_t port = freePort();
    fleet::member_endpoint endpoint(
            context, { .address = "127.0.0.1", .port = port, .node = "agent", .isAgent = true },
            { .opened = [](const sched::owner_hello & /*hello*/) { return true; },
              .ready = [] {},
              .received = [](const sched::message & /*content*/) {},
              .closed = [] {},
              .failed = [](const std::string & /*problem*/) {} });
    endpoint.start();
    bool opened = false;
    fleet::member_dialer dialer(
            context, {},
            { .opened = [&opened](const sched::member & /*member*/) { opened = true; },
              .closed = [](const sched::member & /*member*/) {},
              .received = [](const sched::member & /*member*/,
                             const sched::message & /*content*/) {},
              .removed = [](const sched::member & /*member*/) {},
              .failed = [](const std::string & /*problem*/) {} });
    const auto runWhile = [&context](const auto &condition) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (condition() && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(100));
    };
    sched::member entry;
    entry.node = "agent";
    entry.address = "127.0.0.1:" + std::to_string(port);
    entry.isAgent = true;
    dialer.add(entry);
    runWhile([&opened] { return !opened; });
    BOOST_REQUIRE(opened);
    dialer.onLeft(entry.address);
    BOOST_TEST(dialer.agents().size() == 1U); // it still answers
    endpoint.close();
    runWhile([&dialer] { return !dialer.agents().empty(); });
    BOOST_TEST(dialer.agents().empty());
    // A process that starts again at the address announces itself.
    dialer.add(entry);
    BOOST_TEST(dialer.agents().size() == 1U);
    dialer.onLeft(entry.address);
    BOOST_TEST(dialer.agents().empty());
}

// Guards against an owner that waits for leases that no earlier owner can grant any more, and one
// that grants leases although a later owner may have its members: review/9.
BOOST_AUTO_TEST_CASE(aDialerTellsWhetherAllMembersAreHeardAndOneHadAnEarlierOwner)
{
    boost::asio::io_context context;
    const std::uint16_t port = freePort();
    fleet::member_endpoint endpoint(
            context, { .address = "127.0.0.1", .port = port, .node = "gateway" },
            { .opened = [](const sched::owner_hello & /*hello*/) { return true; },
              .ready = [] {},
              .received = [](const sched::message & /*content*/) {},
              .closed = [] {},
              .failed = [](const std::string & /*problem*/) {} });
    endpoint.start();
    int opened = 0;
    const auto dial = [&](std::uint64_t epoch) {
        sched::owner_hello hello;
        hello.epoch = epoch;
        auto dialer = std::make_unique<fleet::member_dialer>(
                context, hello,
                fleet::member_dialer::callbacks{
                        .opened = [&opened](const sched::member & /*member*/) { ++opened; },
                        .closed = [](const sched::member & /*member*/) {},
                        .received = [](const sched::member & /*member*/,
                                       const sched::message & /*content*/) {},
                        .removed = [](const sched::member & /*member*/) {},
                        .failed = [](const std::string & /*problem*/) {} });
        sched::member entry;
        entry.node = "gateway";
        entry.address = "127.0.0.1:" + std::to_string(port);
        const int before = opened;
        dialer->add(entry);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (opened == before && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(100));
        BOOST_REQUIRE(opened > before);
        return dialer;
    };
    const auto first = dial(1);
    BOOST_TEST((first->contact() == sched::member_contact{ .all = true, .formerlyOwned = false }));
    first->close();
    const auto second = dial(2);
    BOOST_TEST((second->contact() == sched::member_contact{ .all = true, .formerlyOwned = true }));
    sched::member missing;
    missing.node = "missing";
    missing.address = "127.0.0.1:" + std::to_string(freePort());
    second->add(missing);
    BOOST_TEST((second->contact() == sched::member_contact{ .all = false, .formerlyOwned = true }));
    second->onLeft(missing.address);
    BOOST_TEST(second->contact().all);
    std::this_thread::sleep_for(fleet::member_dialer::maxSilence
                                + std::chrono::milliseconds(200)); // nothing is read meanwhile
    BOOST_TEST((second->contact() == sched::member_contact{}));
    endpoint.close();
}
