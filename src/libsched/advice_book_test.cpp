#include "plantainpitch/sched/advice_book.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::advice_book;
using std::chrono::milliseconds;

namespace {

const std::string step = "a.0.0";
const std::vector<std::string> workers{ "w1", "w2" };
const instant start{ milliseconds(1'000'000) };

} // namespace

BOOST_AUTO_TEST_SUITE(advice_books)

BOOST_AUTO_TEST_CASE(aTicketIsGivenUntilShortlyBeforeItExpires)
{
    advice_book book;
    book.asked(step, "n", start);
    book.answered(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000), start);
    BOOST_TEST(!book.ticketFor(step, "w1", start));
    BOOST_TEST((book.ticketFor(step, "w2", start + milliseconds(2'400)) == "t"));
    BOOST_TEST(!book.ticketFor(step, "w2", start + milliseconds(2'600)));
}

BOOST_AUTO_TEST_CASE(nothingIsAskedWhileACallIsOnItsWayOrATicketIsValid)
{
    advice_book book;
    BOOST_TEST(book.toAsk(step, workers, {}, start) == workers);
    book.asked(step, "n", start);
    BOOST_TEST(book.toAsk(step, workers, {}, start).empty());
    book.answered(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000), start);
    BOOST_TEST(book.toAsk(step, workers, {}, start).empty());
}

// With the only fit worker full, others may be fit as well; its ticket stays valid, and asking
// about it again and again would keep the service busy.
BOOST_AUTO_TEST_CASE(othersAreAskedAboutWhileWorkersWithTicketsAreFull)
{
    advice_book book;
    book.asked(step, "n", start);
    book.answered(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000), start);
    const std::vector<std::string> expected{ "w3" };
    BOOST_TEST(book.toAsk(step, { "w3" }, { "w2" }, start) == expected);
    book.asked(step, "n", start);
    book.answered(step, expected, {}, milliseconds(3'000), start);
    BOOST_TEST(book.ticketFor(step, "w2", start).has_value());
    BOOST_TEST(book.toAsk(step, { "w3" }, { "w2" }, start).empty());
}

BOOST_AUTO_TEST_CASE(callsAreSpreadOverTheAgentsAndLimited)
{
    advice_book book;
    const std::set<std::string> agents{ "n1", "n2" };
    std::map<std::string, int> calls;
    for (int i = 0; i < 4; ++i) {
        const std::string agent = book.chooseAgent(agents);
        book.asked("a.0." + std::to_string(i), agent, start);
        ++calls[agent];
    }
    BOOST_TEST(calls["n1"] == 2);
    BOOST_TEST(calls["n2"] == 2);
    BOOST_TEST(book.chooseAgent(agents).empty());
    book.forget("a");
    BOOST_TEST(!book.chooseAgent(agents).empty());
}

BOOST_AUTO_TEST_CASE(anAgentThatIsLostOrFailsLeavesTheStepToOthers)
{
    advice_book book;
    book.asked(step, "n1", start);
    book.agentLost("n1");
    BOOST_TEST(book.toAsk(step, workers, {}, start) == workers);
    book.asked(step, "n2", start);
    book.notAnswered(step, start);
    BOOST_TEST(book.toAsk(step, workers, {}, start).empty());
    BOOST_TEST(book.toAsk(step, workers, {}, start + milliseconds(400)) == workers);
}

// The answer to an earlier call, which counted as lost, says nothing of workers it was not about.
BOOST_AUTO_TEST_CASE(aLateAnswerMakesNoOtherWorkersUnfit)
{
    advice_book book;
    book.asked(step, "n1", start);
    book.agentLost("n1");
    book.asked(step, "n2", start);
    book.answered(step, { "w1" }, {}, milliseconds(3'000), start);
    const std::vector<std::string> expected{ "w2" };
    BOOST_TEST(book.toAsk(step, workers, {}, start) == expected);
}

BOOST_AUTO_TEST_SUITE_END()
