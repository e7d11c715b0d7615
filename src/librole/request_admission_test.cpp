#include "plantainpitch/role/request_admission.h"

#include "answer_checksum.h"
#include "plantainpitch/policy/queue_admission.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

constexpr std::uint64_t entry = 7;
constexpr connection_id entryLink = 1;

instant at(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

template <typename type>
std::vector<type> taken(request_admission &agent)
{
    std::vector<type> found;
    for (const auto &each : agent.takeActions()) {
        if (const auto *sent = std::get_if<send_message>(&each)) {
            if constexpr (std::is_constructible_v<message, type>) {
                if (const auto *content = std::get_if<type>(&sent->content))
                    found.push_back(*content);
            }
        }
        if constexpr (std::is_same_v<type, service_call>) {
            if (const auto *call = std::get_if<service_call>(&each))
                found.push_back(*call);
        }
    }
    return found;
}

struct one_agent
{
    explicit one_agent(request_admission_options options = { .templateName = "pay", .slots = 1 })
        : agent(std::move(options))
    {
        agent.onEntryConnected(at(0), entryLink, entry);
    }

    void send(std::uint64_t number, std::uint32_t attempt = 1, bool idempotent = false,
              std::int64_t leftMs = 1000, std::int64_t nowMs = 0)
    {
        agent.onDispatch(at(nowMs), entryLink,
                         { .id = { entry, number },
                           .attempt = attempt,
                           .timeLeftUs = leftMs * 1000,
                           .idempotent = idempotent,
                           .request = { .templateName = "pay" } });
    }

    std::optional<refusal_reason> refusedFor()
    {
        const auto refusals = taken<refusal>(agent);
        return refusals.empty() ? std::nullopt : std::optional(refusals.front().reason);
    }

    request_admission agent;
};

} // namespace

// Guards against a dispatch that starts after its cancellation was confirmed.
BOOST_AUTO_TEST_CASE(tombstoneRefusesLaterDispatch)
{
    one_agent a;
    a.agent.onCancel(at(0), entryLink, { .id = { entry, 1 }, .attempt = 1 });
    BOOST_CHECK(taken<cancel_result>(a.agent).at(0).outcome == cancel_outcome::not_started);
    a.send(1);
    BOOST_CHECK(a.refusedFor() == refusal_reason::cancelled);
    BOOST_TEST(a.agent.idle());
}

// Guards against a second run when the network repeats a dispatch before or after its answer.
BOOST_AUTO_TEST_CASE(repeatedDispatchDoesNotRunAgain)
{
    one_agent a;
    a.send(1);
    const auto calls = taken<service_call>(a.agent);
    BOOST_REQUIRE(calls.size() == 1);
    a.send(1);
    BOOST_CHECK(a.refusedFor() == refusal_reason::duplicate);
    a.agent.onServiceResult(at(5), { calls[0].callId, service_result_kind::answered, { 200 } });
    BOOST_TEST(taken<answer>(a.agent).size() == 1U);
    a.send(1);
    const auto again = taken<answer>(a.agent);
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST(detail::isWhole(again[0]));
    a.send(1, 2); // another attempt of a request that has run
    BOOST_CHECK(a.refusedFor() == refusal_reason::duplicate);
    BOOST_TEST(a.agent.idle());
}

// Guards against a run after a refusal on which the entry has already acted.
BOOST_AUTO_TEST_CASE(repeatedDispatchAfterRefusalIsRefusedAgain)
{
    one_agent a({ .templateName = "pay", .slots = 1, .queueLimit = 0 });
    a.send(1);
    const auto calls = taken<service_call>(a.agent);
    a.send(2);
    BOOST_CHECK(a.refusedFor() == refusal_reason::queue_full);
    a.agent.onServiceResult(at(5), { calls.at(0).callId, service_result_kind::answered, {} });
    (void)a.agent.takeActions();
    a.send(2);
    BOOST_CHECK(a.refusedFor() == refusal_reason::queue_full);
    a.agent.onCancel(at(6), entryLink, { .id = { entry, 2 } });
    BOOST_CHECK(taken<cancel_result>(a.agent).at(0).outcome == cancel_outcome::not_started);
    BOOST_TEST(a.agent.idle());
}

// Guards against a forgotten tombstone or answer: what may have been known must neither run nor
// be proven not to have run.
BOOST_AUTO_TEST_CASE(forgottenRequestsAreNeitherRunNorProven)
{
    one_agent a({ .templateName = "pay", .slots = 1, .rememberedRequests = 2 });
    for (std::uint64_t number = 1; number <= 3; ++number)
        a.agent.onCancel(at(0), entryLink, { .id = { entry, number } });
    (void)a.agent.takeActions();
    a.send(1);
    BOOST_CHECK(a.refusedFor() == refusal_reason::duplicate);
    a.agent.onCancel(at(0), entryLink, { .id = { entry, 1 } });
    BOOST_CHECK(taken<cancel_result>(a.agent).at(0).outcome == cancel_outcome::unknown);
    a.agent.tick(at(61'000));
    a.send(3, 1, false, 1000, 61'000);
    BOOST_CHECK(a.refusedFor() == refusal_reason::duplicate);
}

// Guards against a planned stop that drops queued work or takes new work.
BOOST_AUTO_TEST_CASE(drainFinishesQueuedWork)
{
    one_agent a;
    a.send(1);
    a.send(2);
    auto calls = taken<service_call>(a.agent);
    a.agent.drain(at(1));
    a.send(3);
    BOOST_CHECK(a.refusedFor() == refusal_reason::draining);
    a.agent.onServiceResult(at(5), { calls.at(0).callId, service_result_kind::answered, {} });
    calls = taken<service_call>(a.agent);
    BOOST_REQUIRE(calls.size() == 1);
    BOOST_TEST(!a.agent.idle());
    a.agent.onServiceResult(at(9), { calls[0].callId, service_result_kind::answered, {} });
    BOOST_TEST(taken<answer>(a.agent).size() == 1U);
    BOOST_TEST(a.agent.idle());
}

// Guards against slots spent on work that nobody waits for any more.
BOOST_AUTO_TEST_CASE(expiredWorkIsRefusedBeforeItStarts)
{
    one_agent a;
    a.send(1);
    a.send(2, 1, false, 10);
    (void)a.agent.takeActions();
    a.agent.tick(at(11));
    BOOST_CHECK(a.refusedFor() == refusal_reason::expired);
    a.send(3, 1, false, 0, 11);
    BOOST_CHECK(a.refusedFor() == refusal_reason::expired);
}

// Guards against queueing work that cannot finish in time.
BOOST_AUTO_TEST_CASE(unreachableDeadlineIsRefused)
{
    one_agent a;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        a.send(number);
        const auto calls = taken<service_call>(a.agent);
        a.agent.onServiceResult(at(100), { calls.at(0).callId, service_result_kind::answered, {} });
        (void)a.agent.takeActions();
    }
    a.send(3);
    (void)a.agent.takeActions();
    a.send(4, 1, false, 150);
    BOOST_CHECK(a.refusedFor() == refusal_reason::deadline_unreachable);
    a.send(5, 1, false, 500);
    BOOST_CHECK(a.refusedFor() == std::nullopt);
}

// Guards against an answer that is lost because the entry's connection was replaced.
BOOST_AUTO_TEST_CASE(answerGoesToTheNewConnectionAndIsSentAgainOnCancel)
{
    one_agent a;
    a.send(1);
    const auto calls = taken<service_call>(a.agent);
    a.agent.onEntryGone(at(1), entryLink);
    a.agent.onServiceResult(at(2), { calls.at(0).callId, service_result_kind::answered, {} });
    BOOST_TEST(taken<answer>(a.agent).empty());
    a.agent.onEntryConnected(at(3), entryLink + 1, entry);
    a.agent.onCancel(at(3), entryLink + 1, { .id = { entry, 1 } });
    BOOST_TEST(taken<answer>(a.agent).size() == 1U);
}

// Guards against a service that broke off being reported as not run.
BOOST_AUTO_TEST_CASE(brokenServiceIsNotProof)
{
    one_agent a;
    a.send(1);
    auto calls = taken<service_call>(a.agent);
    a.agent.onServiceResult(at(1), { calls.at(0).callId, service_result_kind::broken, {} });
    BOOST_CHECK(a.refusedFor() == refusal_reason::service_broken);
    a.agent.onCancel(at(2), entryLink, { .id = { entry, 1 } });
    BOOST_CHECK(taken<cancel_result>(a.agent).at(0).outcome == cancel_outcome::unknown);
    a.send(2);
    calls = taken<service_call>(a.agent);
    a.agent.onServiceResult(at(3), { calls.at(0).callId, service_result_kind::connect_failed, {} });
    BOOST_CHECK(a.refusedFor() == refusal_reason::connect_failed);
}
