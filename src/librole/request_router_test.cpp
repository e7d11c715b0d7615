#include "plantainpitch/role/request_router.h"

#include "answer_checksum.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

instant at(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

/// Router with endpoints on connections 1, 2, ... of agents with incarnations 11, 12, ...
struct router_fixture
{
    explicit router_fixture(std::uint32_t endpoints)
        : router({ .entry = 7, .dataCentre = "a" }, 1)
    {
        work_template service{ .name = "pay", .kind = task_kind::service };
        service.idempotentPaths = { { .method = "POST", .prefix = "/read" } };
        router.onTemplate(std::make_shared<const work_template>(service));
        for (std::uint32_t i = 1; i <= endpoints; ++i)
            connect(i, 10 + i);
    }

    void connect(connection_id connection, std::uint64_t incarnation, std::int64_t ms = 0)
    {
        router.onEndpoint(at(ms), { .connection = connection,
                                    .vm = "vm" + std::to_string(incarnation % 10),
                                    .dataCentre = "a",
                                    .incarnation = incarnation,
                                    .templateName = "pay",
                                    .slots = 8 });
    }

    void request(std::uint64_t caller, const std::string &path, const std::string &key = {})
    {
        router.onRequest(at(0), { .callerId = caller,
                                  .request = { .account = "acc",
                                               .templateName = "pay",
                                               .method = "POST",
                                               .path = path },
                                  .idempotencyKey = key,
                                  .timeoutMs = 1000 });
    }

    /// Takes all actions and returns the only one of this type.
    template <typename type>
    type takeOnly()
    {
        collect();
        std::vector<type> found;
        for (const auto &each : actions) {
            if (const auto *value = std::get_if<type>(&each))
                found.push_back(*value);
        }
        actions.clear();
        BOOST_REQUIRE_EQUAL(found.size(), 1U);
        return found.front();
    }

    template <typename type>
    type takeSent()
    {
        const auto value = takeOnly<send_message>();
        lastConnection = value.connection;
        BOOST_REQUIRE(std::holds_alternative<type>(value.content));
        return std::get<type>(value.content);
    }

    [[nodiscard]] bool sendsNothing()
    {
        collect();
        const bool none = std::none_of(actions.begin(), actions.end(), [](const action &each) {
            return std::holds_alternative<send_message>(each)
                   || std::holds_alternative<answer_caller>(each);
        });
        actions.clear();
        return none;
    }

    void collect()
    {
        for (auto &each : router.takeActions())
            actions.push_back(std::move(each));
    }

    static answer reply(const dispatch &to, const std::string &body)
    {
        return { .id = to.id,
                 .attempt = to.attempt,
                 .content = { .status = 200, .contentType = {}, .body = body },
                 .bodyBytes = body.size(),
                 .bodyChecksum = detail::bodyChecksum(body) };
    }

    void deliver(const message &content, std::int64_t ms = 10)
    {
        router.onMessage(at(ms), lastConnection, content);
    }

    /// Delivers the outcome of a record; \a accepted matters only if the record was taken.
    void deliverRecordOutcome(std::uint64_t token, bool taken, bool accepted,
                              const std::optional<key_state> &holder, std::int64_t ms = 5)
    {
        router.onRecordOutcome(
                at(ms), { .token = token, .appended = taken, .result = { .accepted = accepted } },
                holder);
    }

    void expectAnswer(outcome_kind outcome, std::uint32_t status, const std::string &reason)
    {
        const auto value = takeOnly<answer_caller>();
        BOOST_CHECK(value.outcome == outcome);
        BOOST_TEST(value.status == status);
        BOOST_TEST(value.reason == reason);
        BOOST_TEST(value.remedy.empty() == (outcome == outcome_kind::answered));
    }

    request_router router;
    action_list actions;
    connection_id lastConnection = 0;
};

} // namespace

// Guards against a second dispatch of a non-idempotent request whose connection was lost, and
// against "not run" without proof.
BOOST_AUTO_TEST_CASE(lostConnectionWithoutProofIsUnknown)
{
    router_fixture fixture(2);
    fixture.request(1, "/pay");
    (void)fixture.takeSent<dispatch>();
    fixture.router.onEndpointDisconnected(at(10), fixture.lastConnection);
    BOOST_TEST(fixture.sendsNothing());
    fixture.router.tick(at(1000));
    fixture.expectAnswer(outcome_kind::unknown, 502, "connection_lost");
    BOOST_TEST(fixture.router.inFlight() == 0U);
}

// Guards against losing an answer with its connection: the router must ask the agent for it after a
// reconnection.
BOOST_AUTO_TEST_CASE(reconnectAsksTheSameAgent)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay");
    const auto first = fixture.takeSent<dispatch>();
    fixture.router.onEndpointDisconnected(at(10), 1);
    fixture.connect(5, 11, 20);
    const auto query = fixture.takeSent<cancel>();
    BOOST_TEST(fixture.lastConnection == 5U);
    fixture.deliver(
            cancel_result{ .id = query.id, .attempt = 1, .outcome = cancel_outcome::running });
    BOOST_TEST(fixture.sendsNothing());
    fixture.deliver(router_fixture::reply(first, "paid"));
    fixture.expectAnswer(outcome_kind::answered, 200, "");
}

// Guards against ending a request that could be retried, as its agent proved that it did not start.
BOOST_AUTO_TEST_CASE(proofAfterReconnectAllowsAnotherEndpoint)
{
    router_fixture fixture(2);
    fixture.request(1, "/pay");
    const auto first = fixture.takeSent<dispatch>();
    const auto lostConnection = fixture.lastConnection;
    fixture.router.onEndpointDisconnected(at(10), lostConnection);
    fixture.connect(5, 10 + lostConnection, 20);
    (void)fixture.takeSent<cancel>();
    fixture.deliver(cancel_result{ .id = first.id, .outcome = cancel_outcome::not_started });
    BOOST_TEST(fixture.takeSent<dispatch>().attempt == 2U);
    BOOST_TEST(fixture.lastConnection != 5U);
}

// Guards against waiting for an agent process that no longer exists.
BOOST_AUTO_TEST_CASE(restartedAgentLeavesOutcomeUnknown)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay");
    (void)fixture.takeSent<dispatch>();
    fixture.router.onEndpointDisconnected(at(10), 1);
    fixture.connect(5, 21, 20);
    fixture.expectAnswer(outcome_kind::unknown, 502, "agent_restarted");
}

// Guards against a refusal that is not retried on another endpoint, and against a status that does
// not show the overload.
BOOST_AUTO_TEST_CASE(refusalGoesToAnotherEndpointThenNotRun)
{
    router_fixture fixture(2);
    fixture.request(1, "/pay");
    auto last = fixture.takeSent<dispatch>();
    const auto refuse = [&] {
        fixture.deliver(refusal{
                .id = last.id, .attempt = last.attempt, .reason = refusal_reason::queue_full });
    };
    refuse();
    last = fixture.takeSent<dispatch>();
    refuse();
    fixture.expectAnswer(outcome_kind::not_run, 429, "queue_full");
}

// Guards against treating the refusal "duplicate" as proof that the request did not run.
BOOST_AUTO_TEST_CASE(duplicateDoesNotProveNotRun)
{
    router_fixture fixture(2);
    fixture.request(1, "/pay");
    const auto sent = fixture.takeSent<dispatch>();
    fixture.deliver(refusal{ .id = sent.id, .reason = refusal_reason::duplicate });
    BOOST_TEST(fixture.sendsNothing());
    fixture.router.tick(at(1000));
    // The router also sends a cancel, which stops the request if it has not started.
    fixture.expectAnswer(outcome_kind::unknown, 504, "deadline_passed");
}

// Guards against passing an answer to a caller whose request has already ended.
BOOST_AUTO_TEST_CASE(lateAnswerIsCountedAndDropped)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay");
    const auto sent = fixture.takeSent<dispatch>();
    fixture.router.tick(at(1000));
    fixture.expectAnswer(outcome_kind::unknown, 504, "deadline_passed");
    fixture.deliver(router_fixture::reply(sent, "late"), 1010);
    BOOST_TEST(fixture.takeOnly<count_metric>().name == "late_answers_total");
}

// Guards against passing on a truncated or altered answer as complete.
BOOST_AUTO_TEST_CASE(damagedAnswerIsAskedForAgain)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay");
    const auto sent = fixture.takeSent<dispatch>();
    auto truncated = router_fixture::reply(sent, "paid 100");
    truncated.content.body.resize(4);
    fixture.deliver(truncated);
    (void)fixture.takeSent<cancel>();
    auto altered = router_fixture::reply(sent, "paid 100");
    altered.content.body[0] = 'P';
    fixture.deliver(altered);
    (void)fixture.takeSent<cancel>();
    fixture.deliver(truncated);
    fixture.expectAnswer(outcome_kind::unknown, 502, "answer_damaged");
}

// Guards against failing an idempotent request when its connection is lost.
BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedAndAnyAnswerCounts)
{
    router_fixture fixture(2);
    fixture.request(1, "/read");
    const auto first = fixture.takeSent<dispatch>();
    const auto lostConnection = fixture.lastConnection;
    fixture.router.onEndpointDisconnected(at(10), lostConnection);
    BOOST_TEST(fixture.takeSent<dispatch>().attempt == 2U);
    BOOST_TEST(fixture.lastConnection != lostConnection);
    fixture.deliver(router_fixture::reply(first, "12"));
    fixture.expectAnswer(outcome_kind::answered, 200, "");
}

// Guards against a retry storm: retries stop when the budget is used up.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    router_fixture fixture(2);
    std::size_t dispatches = 0;
    for (std::uint64_t caller = 1; caller <= 1000; ++caller) {
        fixture.request(caller, "/read");
        for (bool more = true; more;) {
            more = false;
            for (const auto &each : fixture.router.takeActions()) {
                const auto *out = std::get_if<send_message>(&each);
                const auto *to = out ? std::get_if<dispatch>(&out->content) : nullptr;
                if (!to)
                    continue;
                ++dispatches;
                more = true;
                fixture.router.onMessage(at(1), out->connection,
                                         refusal{ .id = to->id,
                                                  .attempt = to->attempt,
                                                  .reason = refusal_reason::queue_full });
            }
        }
    }
    BOOST_TEST(dispatches >= 1100U);
    BOOST_TEST(dispatches <= 1110U); // 10 % and a burst of 10
    BOOST_TEST(fixture.router.inFlight() == 0U);
}

// Guards against running a request with an idempotency key before its claim is recorded.
BOOST_AUTO_TEST_CASE(keyIsClaimedBeforeTheDispatch)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay", "k");
    const auto claim = fixture.takeOnly<submit_record>();
    fixture.deliverRecordOutcome(claim.token, true, true, std::nullopt);
    const auto sent = fixture.takeSent<dispatch>();
    fixture.deliver(router_fixture::reply(sent, "paid"));
    const auto finished = fixture.takeOnly<submit_record>();
    BOOST_TEST(std::get<key_finished>(finished.record).body == "paid");
    fixture.request(2, "/pay", "k2");
    fixture.deliverRecordOutcome(fixture.takeOnly<submit_record>().token, false, false,
                                 std::nullopt);
    fixture.expectAnswer(outcome_kind::not_run, 503, "log_unavailable");
}

// Guards against a second run for a key that another request holds or has finished, and against
// an answer for other content.
BOOST_AUTO_TEST_CASE(heldKeysAreNeverDispatched)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay", "k");
    auto submitted = fixture.takeOnly<submit_record>();
    key_state holder{ .entry = 8,
                      .request = 3,
                      .digest = std::get<key_claimed>(submitted.record).digest };
    fixture.deliverRecordOutcome(submitted.token, true, false, holder);
    fixture.expectAnswer(outcome_kind::unknown, 504, "key_held");
    holder.finished = holder.bodyStored = true;
    holder.status = 201;
    fixture.request(2, "/pay", "k");
    fixture.deliverRecordOutcome(fixture.takeOnly<submit_record>().token, true, false, holder);
    fixture.expectAnswer(outcome_kind::answered, 201, "");
    fixture.request(3, "/pay?amount=2", "k");
    fixture.deliverRecordOutcome(fixture.takeOnly<submit_record>().token, true, false, holder);
    fixture.expectAnswer(outcome_kind::not_run, 422, "key_digest_mismatch");
}

// Guards against a key that stays held by a request that did not run.
BOOST_AUTO_TEST_CASE(provenNotRunReleasesTheKey)
{
    router_fixture fixture(1);
    fixture.request(1, "/pay", "k");
    fixture.deliverRecordOutcome(fixture.takeOnly<submit_record>().token, true, true, std::nullopt);
    const auto sent = fixture.takeSent<dispatch>();
    fixture.deliver(refusal{ .id = sent.id, .reason = refusal_reason::draining });
    auto released = fixture.takeOnly<submit_record>();
    BOOST_CHECK(std::holds_alternative<key_released>(released.record));
    fixture.deliverRecordOutcome(released.token, false, false, std::nullopt);
    fixture.router.tick(at(2000));
    released = fixture.takeOnly<submit_record>();
    BOOST_CHECK(std::holds_alternative<key_released>(released.record));
    // A claim that is accepted after the caller was answered "not run".
    fixture.request(2, "/pay", "k2");
    const auto claim = fixture.takeOnly<submit_record>();
    fixture.router.tick(at(3000));
    fixture.expectAnswer(outcome_kind::not_run, 503, "deadline_passed");
    fixture.deliverRecordOutcome(claim.token, true, true, std::nullopt, 3100);
    BOOST_CHECK(std::holds_alternative<key_released>(fixture.takeOnly<submit_record>().record));
}

// Guards against a key that stays held although a message received after the caller's answer shows
// the outcome of its request.
BOOST_AUTO_TEST_CASE(lateMessagesSettleTheKey)
{
    router_fixture fixture(1);
    const auto lateDispatch = [&](std::uint64_t caller) {
        fixture.request(caller, "/pay", "k" + std::to_string(caller));
        fixture.deliverRecordOutcome(fixture.takeOnly<submit_record>().token, true, true,
                                     std::nullopt);
        auto sent = fixture.takeSent<dispatch>();
        fixture.router.tick(at(1000));
        fixture.expectAnswer(outcome_kind::unknown, 504, "deadline_passed");
        return sent;
    };
    auto sent = lateDispatch(1);
    fixture.deliver(router_fixture::reply(sent, "paid"), 1100);
    const auto finished = fixture.takeOnly<submit_record>();
    BOOST_TEST(std::get<key_finished>(finished.record).body == "paid");
    sent = lateDispatch(2);
    fixture.deliver(cancel_result{ .id = sent.id, .outcome = cancel_outcome::not_started }, 1100);
    const auto released = fixture.takeOnly<submit_record>();
    BOOST_TEST(std::get<key_released>(released.record).key == "k2");
    fixture.deliver(router_fixture::reply(sent, "paid"), 1200);
    BOOST_TEST(fixture.sendsNothing());
}

// Guards against sending requests to a draining endpoint because its reported state is stale.
BOOST_AUTO_TEST_CASE(drainingEndpointIsNotChosen)
{
    router_fixture fixture(2);
    fixture.request(1, "/pay");
    const auto sent = fixture.takeSent<dispatch>();
    const auto drainingConnection = fixture.lastConnection;
    fixture.deliver(refusal{ .id = sent.id, .reason = refusal_reason::draining });
    (void)fixture.takeOnly<send_message>();
    for (std::uint64_t caller = 2; caller < 20; ++caller) {
        fixture.request(caller, "/pay");
        (void)fixture.takeSent<dispatch>();
        BOOST_TEST(fixture.lastConnection != drainingConnection);
    }
}

// Guards against treating a path as idempotent that resolves to one outside the idempotent prefix.
BOOST_AUTO_TEST_CASE(pathOutsideThePrefixIsNotIdempotent)
{
    router_fixture fixture(1);
    fixture.request(1, "/read/../pay");
    BOOST_TEST(!fixture.takeSent<dispatch>().idempotent);
    fixture.request(2, "/read/1");
    BOOST_TEST(fixture.takeSent<dispatch>().idempotent);
}
