#include "plantainpitch/role/request_admission.h"

#include "answer_checksum.h"
#include "plantainpitch/policy/queue_admission.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

constexpr std::uint64_t entry = 7;
constexpr connection_id entryConnection = 1;

instant at(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

template <typename type>
std::vector<type> takeActionsOf(request_admission &agent)
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

struct admission_fixture
{
    explicit admission_fixture(request_admission_options options = { .templateName = "pay",
                                                                     .slots = 1 })
        : agent(std::move(options))
    {
        agent.onEntryConnected(at(0), entryConnection, entry);
    }

    void sendDispatch(std::uint64_t number, std::uint32_t attempt = 1, bool idempotent = false,
                      std::int64_t leftMs = 1000, std::int64_t nowMs = 0)
    {
        agent.onDispatch(at(nowMs), entryConnection,
                         { .id = { entry, number },
                           .attempt = attempt,
                           .timeLeftUs = leftMs * 1000,
                           .idempotent = idempotent,
                           .request = { .templateName = "pay" } });
    }

    std::optional<refusal_reason> refusalReason()
    {
        const auto refusals = takeActionsOf<refusal>(agent);
        return refusals.empty() ? std::nullopt : std::optional(refusals.front().reason);
    }

    request_admission agent;
};

} // namespace

// Guards against starting a dispatch that arrives after its cancellation was confirmed.
BOOST_AUTO_TEST_CASE(tombstoneRefusesLaterDispatch)
{
    admission_fixture fixture;
    fixture.agent.onCancel(at(0), entryConnection, { .id = { entry, 1 }, .attempt = 1 });
    BOOST_CHECK(takeActionsOf<cancel_result>(fixture.agent).at(0).outcome
                == cancel_outcome::not_started);
    fixture.sendDispatch(1);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::cancelled);
    BOOST_TEST(fixture.agent.idle());
}

// Guards against a second run when the network delivers a dispatch again, before or after its
// answer.
BOOST_AUTO_TEST_CASE(repeatedDispatchDoesNotRunAgain)
{
    admission_fixture fixture;
    fixture.sendDispatch(1);
    const auto calls = takeActionsOf<service_call>(fixture.agent);
    BOOST_REQUIRE(calls.size() == 1);
    fixture.sendDispatch(1);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::duplicate);
    fixture.agent.onServiceResult(at(5),
                                  { calls[0].callId, service_result_kind::answered, { 200 } });
    BOOST_TEST(takeActionsOf<answer>(fixture.agent).size() == 1U);
    fixture.sendDispatch(1);
    const auto again = takeActionsOf<answer>(fixture.agent);
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST(detail::isIntact(again[0]));
    fixture.sendDispatch(1, 2); // another attempt of a request that has run
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::duplicate);
    BOOST_TEST(fixture.agent.idle());
}

// Guards against running a refused dispatch that arrives again: the entry may already have sent
// the request elsewhere.
BOOST_AUTO_TEST_CASE(repeatedDispatchAfterRefusalIsRefusedAgain)
{
    admission_fixture fixture({ .templateName = "pay", .slots = 1, .queueLimit = 0 });
    fixture.sendDispatch(1);
    const auto calls = takeActionsOf<service_call>(fixture.agent);
    fixture.sendDispatch(2);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::queue_full);
    fixture.agent.onServiceResult(at(5), { calls.at(0).callId, service_result_kind::answered, {} });
    (void)fixture.agent.takeActions();
    fixture.sendDispatch(2);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::queue_full);
    fixture.agent.onCancel(at(6), entryConnection, { .id = { entry, 2 } });
    BOOST_CHECK(takeActionsOf<cancel_result>(fixture.agent).at(0).outcome
                == cancel_outcome::not_started);
    BOOST_TEST(fixture.agent.idle());
}

// Guards against acting without an evicted tombstone or answer: a request whose history may have
// been evicted must neither run nor be reported as not run.
BOOST_AUTO_TEST_CASE(evictedRequestsNeitherRunNorCountAsNotRun)
{
    admission_fixture fixture({ .templateName = "pay", .slots = 1, .historyLimit = 2 });
    for (std::uint64_t number = 1; number <= 3; ++number)
        fixture.agent.onCancel(at(0), entryConnection, { .id = { entry, number } });
    (void)fixture.agent.takeActions();
    fixture.sendDispatch(1);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::duplicate);
    fixture.agent.onCancel(at(0), entryConnection, { .id = { entry, 1 } });
    BOOST_CHECK(takeActionsOf<cancel_result>(fixture.agent).at(0).outcome
                == cancel_outcome::unknown);
    fixture.agent.tick(at(61'000));
    fixture.sendDispatch(3, 1, false, 1000, 61'000);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::duplicate);
}

// Guards against a drain that drops queued requests or accepts new ones.
BOOST_AUTO_TEST_CASE(drainFinishesQueuedWork)
{
    admission_fixture fixture;
    fixture.sendDispatch(1);
    fixture.sendDispatch(2);
    auto calls = takeActionsOf<service_call>(fixture.agent);
    fixture.agent.drain(at(1));
    fixture.sendDispatch(3);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::draining);
    fixture.agent.onServiceResult(at(5), { calls.at(0).callId, service_result_kind::answered, {} });
    calls = takeActionsOf<service_call>(fixture.agent);
    BOOST_REQUIRE(calls.size() == 1);
    BOOST_TEST(!fixture.agent.idle());
    fixture.agent.onServiceResult(at(9), { calls[0].callId, service_result_kind::answered, {} });
    BOOST_TEST(takeActionsOf<answer>(fixture.agent).size() == 1U);
    BOOST_TEST(fixture.agent.idle());
}

// Guards against using slots for requests whose deadline has passed.
BOOST_AUTO_TEST_CASE(expiredWorkIsRefusedBeforeItStarts)
{
    admission_fixture fixture;
    fixture.sendDispatch(1);
    fixture.sendDispatch(2, 1, false, 10);
    (void)fixture.agent.takeActions();
    fixture.agent.tick(at(11));
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::expired);
    fixture.sendDispatch(3, 1, false, 0, 11);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::expired);
}

// Guards against queueing requests that cannot finish before their deadline.
BOOST_AUTO_TEST_CASE(unreachableDeadlineIsRefused)
{
    admission_fixture fixture;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        fixture.sendDispatch(number);
        const auto calls = takeActionsOf<service_call>(fixture.agent);
        fixture.agent.onServiceResult(at(100),
                                      { calls.at(0).callId, service_result_kind::answered, {} });
        (void)fixture.agent.takeActions();
    }
    fixture.sendDispatch(3);
    (void)fixture.agent.takeActions();
    fixture.sendDispatch(4, 1, false, 150);
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::deadline_unreachable);
    fixture.sendDispatch(5, 1, false, 500);
    BOOST_CHECK(fixture.refusalReason() == std::nullopt);
}

// Guards against losing an answer when the entry's connection is replaced.
BOOST_AUTO_TEST_CASE(answerGoesToTheNewConnectionAndIsSentAgainOnCancel)
{
    admission_fixture fixture;
    fixture.sendDispatch(1);
    const auto calls = takeActionsOf<service_call>(fixture.agent);
    fixture.agent.onEntryDisconnected(at(1), entryConnection);
    fixture.agent.onServiceResult(at(2), { calls.at(0).callId, service_result_kind::answered, {} });
    BOOST_TEST(takeActionsOf<answer>(fixture.agent).empty());
    fixture.agent.onEntryConnected(at(3), entryConnection + 1, entry);
    fixture.agent.onCancel(at(3), entryConnection + 1, { .id = { entry, 1 } });
    BOOST_TEST(takeActionsOf<answer>(fixture.agent).size() == 1U);
}

// Guards against reporting a request as not run when the service closed the connection without a
// complete answer.
BOOST_AUTO_TEST_CASE(brokenServiceDoesNotProveNotRun)
{
    admission_fixture fixture;
    fixture.sendDispatch(1);
    auto calls = takeActionsOf<service_call>(fixture.agent);
    fixture.agent.onServiceResult(at(1), { calls.at(0).callId, service_result_kind::broken, {} });
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::service_broken);
    fixture.agent.onCancel(at(2), entryConnection, { .id = { entry, 1 } });
    BOOST_CHECK(takeActionsOf<cancel_result>(fixture.agent).at(0).outcome
                == cancel_outcome::unknown);
    fixture.sendDispatch(2);
    calls = takeActionsOf<service_call>(fixture.agent);
    fixture.agent.onServiceResult(at(3),
                                  { calls.at(0).callId, service_result_kind::connect_failed, {} });
    BOOST_CHECK(fixture.refusalReason() == refusal_reason::connect_failed);
}
