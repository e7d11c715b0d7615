#include "plantainpitch/sched/gateway.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::call_outcome;
using sched::gateway_status;
using std::chrono::milliseconds;

namespace {

/// A gateway with the owner of the epoch 1.
struct gateway_fixture
{
    gateway_fixture() { connect(); }

    void connect()
    {
        sched::owner_hello hello;
        hello.epoch = ++epoch;
        BOOST_TEST(subject.ownerOpened(hello, now));
    }

    std::uint64_t submit(const std::string &job)
    {
        sched::client_call call;
        call.number = ++lastCall;
        call.kind = static_cast<std::uint8_t>(sched::call_kind::submit);
        call.job = job;
        subject.call(std::move(call), now + milliseconds(3'000), now);
        return lastCall;
    }

    /// Submits a job with a payload of that size.
    std::uint64_t submitPayload(const std::string &job, std::size_t bytes)
    {
        sched::client_call call;
        call.number = ++lastCall;
        call.kind = static_cast<std::uint8_t>(sched::call_kind::submit);
        call.job = job;
        call.submitted = std::make_unique<sched::submission>();
        call.submitted->id = job;
        call.submitted->spec = std::make_unique<sched::job_spec>();
        call.submitted->spec->payload = std::string(bytes, 'x');
        subject.call(std::move(call), now + milliseconds(3'000), now);
        return lastCall;
    }

    void answer(std::uint64_t number, call_outcome outcome)
    {
        sched::client_answer answer;
        answer.number = number;
        answer.outcome = static_cast<std::uint8_t>(outcome);
        subject.onAnswer(answer);
    }

    void run(milliseconds time)
    {
        for (const instant end = now + time; now < end;) {
            now += milliseconds(100);
            subject.tick(now);
        }
    }

    /// Status of the only answer since the last call of this function.
    gateway_status status()
    {
        const auto answers = subject.takeAnswers();
        BOOST_REQUIRE(answers.size() == 1U);
        return answers.front().status;
    }

    instant now{ milliseconds(1'000'000) };
    sched::gateway subject;
    std::uint64_t epoch = 0;
    std::uint64_t lastCall = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateways)

// Guards against a job that runs although its client was told last that it never will: its first
// call had reached an owner and was not answered, and the repeat found none.
BOOST_AUTO_TEST_CASE(aRepeatOfACallWithoutAnswerIsNotRefusedForWantOfAnOwner)
{
    gateway_fixture gateway;
    gateway.submit("a");
    gateway.subject.ownerClosed(gateway.now);
    gateway.run(milliseconds(1'200));
    BOOST_TEST((gateway.status() == gateway_status::unknown));
    gateway.submit("a");
    gateway.submit("b");
    gateway.run(milliseconds(1'200));
    const auto answers = gateway.subject.takeAnswers();
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((answers[0].status == gateway_status::unknown));
    BOOST_TEST((answers[1].status == gateway_status::not_accepted));
}

// Guards against an outcome that stays unknown after an owner has told it.
BOOST_AUTO_TEST_CASE(anOwnersAnswerSettlesTheOutcomeOfEarlierCalls)
{
    gateway_fixture gateway;
    gateway.submit("a");
    gateway.subject.ownerClosed(gateway.now);
    gateway.run(milliseconds(1'200));
    BOOST_TEST((gateway.status() == gateway_status::unknown));
    gateway.connect();
    gateway.answer(gateway.submit("a"), call_outcome::unavailable);
    BOOST_TEST((gateway.status() == gateway_status::not_accepted));
    gateway.subject.ownerClosed(gateway.now);
    gateway.submit("a");
    gateway.run(milliseconds(1'200));
    BOOST_TEST((gateway.status() == gateway_status::not_accepted));
}

// Guards against a gateway that runs out of memory because clients hand in jobs and leave without
// waiting for the answers.
BOOST_AUTO_TEST_CASE(callsThatWaitForAnAnswerAreBounded)
{
    gateway_fixture fixture;
    const std::size_t bytes = 200'000;
    std::uint64_t sent = 0;
    while (fixture.subject.openCalls() == sent) {
        fixture.submitPayload("job-" + std::to_string(sent), bytes);
        ++sent;
    }
    BOOST_TEST(sent <= sched::gateway::maxOpenBytes / bytes + 1);
    const auto refused = fixture.subject.takeAnswers();
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused.front().status == gateway_status::not_accepted));
    // Room is free again once calls are answered.
    fixture.answer(1, call_outcome::done);
    fixture.subject.takeAnswers();
    fixture.submitPayload("next", bytes / 2);
    BOOST_TEST(fixture.subject.takeAnswers().empty());
    BOOST_TEST(fixture.subject.openCalls() == sent - 1);
}

BOOST_AUTO_TEST_SUITE_END()
