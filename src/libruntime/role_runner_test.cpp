#include "plantainpitch/runtime/role_runner.h"

#include "plantainpitch/runtime/manual_clock.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <stdexcept>
#include <thread>

using namespace plantainpitch;
using namespace plantainpitch::runtime;

namespace {

/// Role with two shards; each event on shard 0 leaves work for shard 1.
struct fake_role
{
    std::array<int, 2> handled{}; // not atomic: the runner's locks must guard it
    std::atomic<int> inbox{ 0 };

    [[nodiscard]] static std::size_t shardCount() { return 2; }
    [[nodiscard]] static std::vector<std::size_t> shardsOf(int) { return { 0 }; }

    action_list handle(std::size_t shard, instant, int event)
    {
        if (event < 0)
            throw std::logic_error("negative event");
        ++handled[shard];
        ++inbox;
        return {};
    }
    [[nodiscard]] bool hasInbox(std::size_t shard) const { return shard == 1 && inbox > 0; }
    action_list handleInbox(std::size_t shard, instant)
    {
        const int work = inbox.exchange(0);
        handled[shard] += work;
        return action_list(static_cast<std::size_t>(work), exit_process{});
    }
};

} // namespace

// Guards against a shard that two threads use at once, and against work left in an inbox.
BOOST_AUTO_TEST_CASE(shardsAreLockedAndInboxesEmptied)
{
    fake_role role;
    const manual_clock time;
    int actions = 0; // only shard 1 gives actions, so its lock guards the count
    role_runner<fake_role, int> runner(
            role, time, [&actions](const action &) { ++actions; },
            [](const std::exception &) { BOOST_ERROR("the role threw"); });
    constexpr int eventsPerThread = 2'000;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&runner] {
            for (int n = 0; n < eventsPerThread; ++n)
                runner.deliver(1);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(role.handled[0] == 4 * eventsPerThread);
    BOOST_TEST(role.handled[1] == 4 * eventsPerThread);
    BOOST_TEST(actions == 4 * eventsPerThread);
}

// Guards against a violated invariant that passes unnoticed.
BOOST_AUTO_TEST_CASE(exceptionsOfTheRoleAreReported)
{
    fake_role role;
    const manual_clock time;
    std::string fault;
    role_runner<fake_role, int> runner(
            role, time, [](const action &) {},
            [&fault](const std::exception &e) { fault = e.what(); });
    runner.deliver(-1);
    BOOST_TEST(fault == "negative event");
}
