#include "plantainpitch/role/request_router.h"

#include "answer_checksum.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

instant at(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

/// A router with endpoints on the connections 1, 2, ... of agents with the incarnations 11, 12, ...
struct one_router
{
    explicit one_router(std::uint32_t endpoints)
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

    /// The only action of this type since the last call.
    template <typename type>
    type only()
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
    type sent()
    {
        const auto value = only<send_message>();
        lastConnection = value.connection;
        BOOST_REQUIRE(std::holds_alternative<type>(value.content));
        return std::get<type>(value.content);
    }

    [[nodiscard]] bool silent()
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

    /// Outcome of a record; \a accepted counts only if it was taken.
    void settle(std::uint64_t token, bool taken, bool accepted,
                const std::optional<key_state> &holder, std::int64_t ms = 5)
    {
        router.onRecordOutcome(
                at(ms), { .token = token, .appended = taken, .result = { .accepted = accepted } },
                holder);
    }

    void expectAnswer(outcome_kind outcome, std::uint32_t status, const std::string &reason)
    {
        const auto value = only<answer_caller>();
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

// Guards against a second dispatch of a non-idempotent request whose link broke, and against
// "not run" without proof.
BOOST_AUTO_TEST_CASE(brokenLinkWithoutProofIsUnknown)
{
    one_router r(2);
    r.request(1, "/pay");
    (void)r.sent<dispatch>();
    r.router.onEndpointGone(at(10), r.lastConnection);
    BOOST_TEST(r.silent());
    r.router.tick(at(1000));
    r.expectAnswer(outcome_kind::unknown, 502, "connection_lost");
    BOOST_TEST(r.router.inFlight() == 0U);
}

// Guards against an answer lost with its connection: the agent is asked on the new one.
BOOST_AUTO_TEST_CASE(reconnectAsksTheSameAgent)
{
    one_router r(1);
    r.request(1, "/pay");
    const auto first = r.sent<dispatch>();
    r.router.onEndpointGone(at(10), 1);
    r.connect(5, 11, 20);
    const auto asked = r.sent<cancel>();
    BOOST_TEST(r.lastConnection == 5U);
    r.deliver(cancel_result{ .id = asked.id, .attempt = 1, .outcome = cancel_outcome::running });
    BOOST_TEST(r.silent());
    r.deliver(one_router::reply(first, "paid"));
    r.expectAnswer(outcome_kind::answered, 200, "");
}

// Guards against giving up although the agent proved that the request did not start.
BOOST_AUTO_TEST_CASE(proofAfterReconnectAllowsAnotherEndpoint)
{
    one_router r(2);
    r.request(1, "/pay");
    const auto first = r.sent<dispatch>();
    const auto broken = r.lastConnection;
    r.router.onEndpointGone(at(10), broken);
    r.connect(5, 10 + broken, 20);
    (void)r.sent<cancel>();
    r.deliver(cancel_result{ .id = first.id, .outcome = cancel_outcome::not_started });
    BOOST_TEST(r.sent<dispatch>().attempt == 2U);
    BOOST_TEST(r.lastConnection != 5U);
}

// Guards against waiting for an agent process that no longer exists.
BOOST_AUTO_TEST_CASE(newIncarnationProvesNothing)
{
    one_router r(1);
    r.request(1, "/pay");
    (void)r.sent<dispatch>();
    r.router.onEndpointGone(at(10), 1);
    r.connect(5, 21, 20);
    r.expectAnswer(outcome_kind::unknown, 502, "agent_restarted");
}

// Guards against a refusal without a second try, and a status that hides the overload.
BOOST_AUTO_TEST_CASE(refusalGoesToAnotherEndpointThenNotRun)
{
    one_router r(2);
    r.request(1, "/pay");
    auto last = r.sent<dispatch>();
    const auto refuse = [&] {
        r.deliver(refusal{
                .id = last.id, .attempt = last.attempt, .reason = refusal_reason::queue_full });
    };
    refuse();
    last = r.sent<dispatch>();
    refuse();
    r.expectAnswer(outcome_kind::not_run, 429, "queue_full");
}

// Guards against a refusal as duplicate being taken for proof.
BOOST_AUTO_TEST_CASE(duplicateIsNoProof)
{
    one_router r(2);
    r.request(1, "/pay");
    const auto sent = r.sent<dispatch>();
    r.deliver(refusal{ .id = sent.id, .reason = refusal_reason::duplicate });
    BOOST_TEST(r.silent());
    r.router.tick(at(1000));
    // The cancel stops the request if it has not started.
    r.expectAnswer(outcome_kind::unknown, 504, "deadline_passed");
}

// Guards against an answer of an earlier request, or a second answer, reaching a caller.
BOOST_AUTO_TEST_CASE(lateAnswerIsCountedAndDropped)
{
    one_router r(1);
    r.request(1, "/pay");
    const auto sent = r.sent<dispatch>();
    r.router.tick(at(1000));
    r.expectAnswer(outcome_kind::unknown, 504, "deadline_passed");
    r.deliver(one_router::reply(sent, "late"), 1010);
    BOOST_TEST(r.only<count_metric>().name == "late_answers_total");
}

// Guards against a truncated or altered answer passed on as complete.
BOOST_AUTO_TEST_CASE(damagedAnswerIsAskedForAgain)
{
    one_router r(1);
    r.request(1, "/pay");
    const auto sent = r.sent<dispatch>();
    auto cut = one_router::reply(sent, "paid 100");
    cut.content.body.resize(4);
    r.deliver(cut);
    (void)r.sent<cancel>();
    auto altered = one_router::reply(sent, "paid 100");
    altered.content.body[0] = 'P';
    r.deliver(altered);
    (void)r.sent<cancel>();
    r.deliver(cut);
    r.expectAnswer(outcome_kind::unknown, 502, "answer_damaged");
}

// Guards against an idempotent request that fails with its connection.
BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedAndAnyAnswerCounts)
{
    one_router r(2);
    r.request(1, "/read");
    const auto first = r.sent<dispatch>();
    const auto broken = r.lastConnection;
    r.router.onEndpointGone(at(10), broken);
    BOOST_TEST(r.sent<dispatch>().attempt == 2U);
    BOOST_TEST(r.lastConnection != broken);
    r.deliver(one_router::reply(first, "12"));
    r.expectAnswer(outcome_kind::answered, 200, "");
}

// Guards against a retry storm: retries stop when the budget is used up.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    one_router r(2);
    std::size_t dispatches = 0;
    for (std::uint64_t caller = 1; caller <= 1000; ++caller) {
        r.request(caller, "/read");
        for (bool more = true; more;) {
            more = false;
            for (const auto &each : r.router.takeActions()) {
                const auto *out = std::get_if<send_message>(&each);
                const auto *to = out ? std::get_if<dispatch>(&out->content) : nullptr;
                if (!to)
                    continue;
                ++dispatches;
                more = true;
                r.router.onMessage(at(1), out->connection,
                                   refusal{ .id = to->id,
                                            .attempt = to->attempt,
                                            .reason = refusal_reason::queue_full });
            }
        }
    }
    BOOST_TEST(dispatches >= 1100U);
    BOOST_TEST(dispatches <= 1110U); // 10 % and a burst of 10
    BOOST_TEST(r.router.inFlight() == 0U);
}

// Guards against a keyed request that runs without a settled claim.
BOOST_AUTO_TEST_CASE(keyIsClaimedBeforeTheDispatch)
{
    one_router r(1);
    r.request(1, "/pay", "k");
    const auto claim = r.only<submit_record>();
    r.settle(claim.token, true, true, std::nullopt);
    const auto sent = r.sent<dispatch>();
    r.deliver(one_router::reply(sent, "paid"));
    const auto finished = r.only<submit_record>();
    BOOST_TEST(std::get<key_finished>(finished.record).body == "paid");
    r.request(2, "/pay", "k2");
    r.settle(r.only<submit_record>().token, false, false, std::nullopt);
    r.expectAnswer(outcome_kind::not_run, 503, "log_unavailable");
}

// Guards against a second run for a key that another request holds or has finished, and against
// an answer for other content.
BOOST_AUTO_TEST_CASE(heldKeysAreNeverDispatched)
{
    one_router r(1);
    r.request(1, "/pay", "k");
    auto submitted = r.only<submit_record>();
    key_state holder{ .entry = 8,
                      .request = 3,
                      .digest = std::get<key_claimed>(submitted.record).digest };
    r.settle(submitted.token, true, false, holder);
    r.expectAnswer(outcome_kind::unknown, 504, "key_held");
    holder.finished = holder.bodyStored = true;
    holder.status = 201;
    r.request(2, "/pay", "k");
    r.settle(r.only<submit_record>().token, true, false, holder);
    r.expectAnswer(outcome_kind::answered, 201, "");
    r.request(3, "/pay?amount=2", "k");
    r.settle(r.only<submit_record>().token, true, false, holder);
    r.expectAnswer(outcome_kind::not_run, 422, "key_digest_mismatch");
}

// Guards against a key that stays held by a request that never ran.
BOOST_AUTO_TEST_CASE(provenNotRunReleasesTheKey)
{
    one_router r(1);
    r.request(1, "/pay", "k");
    r.settle(r.only<submit_record>().token, true, true, std::nullopt);
    const auto sent = r.sent<dispatch>();
    r.deliver(refusal{ .id = sent.id, .reason = refusal_reason::draining });
    auto released = r.only<submit_record>();
    BOOST_CHECK(std::holds_alternative<key_released>(released.record));
    r.settle(released.token, false, false, std::nullopt);
    r.router.tick(at(2000));
    released = r.only<submit_record>();
    BOOST_CHECK(std::holds_alternative<key_released>(released.record));
    // A claim that settles after the caller was told "not run".
    r.request(2, "/pay", "k2");
    const auto claim = r.only<submit_record>();
    r.router.tick(at(3000));
    r.expectAnswer(outcome_kind::not_run, 503, "deadline_passed");
    r.settle(claim.token, true, true, std::nullopt, 3100);
    BOOST_CHECK(std::holds_alternative<key_released>(r.only<submit_record>().record));
}

// Guards against a key that stays unsettled although its request's fate became known too late for
// the caller.
BOOST_AUTO_TEST_CASE(lateMessagesSettleTheKey)
{
    one_router r(1);
    const auto lateDispatch = [&](std::uint64_t caller) {
        r.request(caller, "/pay", "k" + std::to_string(caller));
        r.settle(r.only<submit_record>().token, true, true, std::nullopt);
        auto sent = r.sent<dispatch>();
        r.router.tick(at(1000));
        r.expectAnswer(outcome_kind::unknown, 504, "deadline_passed");
        return sent;
    };
    auto sent = lateDispatch(1);
    r.deliver(one_router::reply(sent, "paid"), 1100);
    const auto finished = r.only<submit_record>();
    BOOST_TEST(std::get<key_finished>(finished.record).body == "paid");
    sent = lateDispatch(2);
    r.deliver(cancel_result{ .id = sent.id, .outcome = cancel_outcome::not_started }, 1100);
    const auto released = r.only<submit_record>();
    BOOST_TEST(std::get<key_released>(released.record).key == "k2");
    r.deliver(one_router::reply(sent, "paid"), 1200);
    BOOST_TEST(r.silent());
}

// Guards against an endpoint that leaves getting new work from a stale view.
BOOST_AUTO_TEST_CASE(drainingEndpointIsNotChosen)
{
    one_router r(2);
    r.request(1, "/pay");
    const auto sent = r.sent<dispatch>();
    const auto leaving = r.lastConnection;
    r.deliver(refusal{ .id = sent.id, .reason = refusal_reason::draining });
    (void)r.only<send_message>();
    for (std::uint64_t caller = 2; caller < 20; ++caller) {
        r.request(caller, "/pay");
        (void)r.sent<dispatch>();
        BOOST_TEST(r.lastConnection != leaving);
    }
}

// Guards against a path that only looks idempotent.
BOOST_AUTO_TEST_CASE(pathOutsideThePrefixIsNotIdempotent)
{
    one_router r(1);
    r.request(1, "/read/../pay");
    BOOST_TEST(!r.sent<dispatch>().idempotent);
    r.request(2, "/read/1");
    BOOST_TEST(r.sent<dispatch>().idempotent);
}
