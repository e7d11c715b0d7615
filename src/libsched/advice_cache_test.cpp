#include "plantainpitch/sched/advice_cache.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::advice_cache;
using std::chrono::milliseconds;

namespace {

const std::string step = "a.0.0";
const std::vector<std::string> workers{ "w1", "w2" };
const instant start{ milliseconds(1'000'000) };

} // namespace

BOOST_AUTO_TEST_SUITE(advice_caches)

BOOST_AUTO_TEST_CASE(aTicketIsGivenUntilShortlyBeforeItExpires)
{
    advice_cache cache;
    cache.requestSent(step, "n", start);
    cache.adviceReceived(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000),
                         start);
    BOOST_TEST(!cache.ticketFor(step, "w1", start));
    BOOST_TEST((cache.ticketFor(step, "w2", start + milliseconds(2'400)) == "t"));
    BOOST_TEST(!cache.ticketFor(step, "w2", start + milliseconds(2'600)));
}

BOOST_AUTO_TEST_CASE(nothingIsAskedWhileACallIsOnItsWayOrATicketIsValid)
{
    advice_cache cache;
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start) == workers);
    cache.requestSent(step, "n", start);
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start).empty());
    cache.adviceReceived(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000),
                         start);
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start).empty());
}

// While the only fit worker is full, other workers are queried. Its ticket stays valid, and
// querying it repeatedly would overload the service.
BOOST_AUTO_TEST_CASE(othersAreAskedAboutWhileWorkersWithTicketsAreFull)
{
    advice_cache cache;
    cache.requestSent(step, "n", start);
    cache.adviceReceived(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000),
                         start);
    const std::vector<std::string> expected{ "w3" };
    BOOST_TEST(cache.workersToQuery(step, { "w3" }, { "w2" }, false, start) == expected);
    cache.requestSent(step, "n", start);
    cache.adviceReceived(step, expected, {}, milliseconds(3'000), start);
    BOOST_TEST(cache.ticketFor(step, "w2", start).has_value());
    BOOST_TEST(cache.workersToQuery(step, { "w3" }, { "w2" }, false, start).empty());
}

// Guards against a job that waits until a ticket expires whose worker starts nothing.
BOOST_AUTO_TEST_CASE(aStalledJobAsksAboutOtherWorkersThatHaveRoom)
{
    advice_cache cache;
    cache.requestSent(step, "n", start);
    cache.adviceReceived(step, workers, { { .worker = "w2", .ticket = "t" } }, milliseconds(3'000),
                         start);
    const std::vector<std::string> expected{ "w3" };
    BOOST_TEST(cache.workersToQuery(step, { "w2", "w3" }, {}, false, start).empty());
    BOOST_TEST(cache.workersToQuery(step, { "w2", "w3" }, {}, true, start) == expected);
    BOOST_TEST(cache.workersToQuery(step, workers, { "w3" }, true, start).empty());
}

BOOST_AUTO_TEST_CASE(callsAreSpreadOverTheAgentsAndLimited)
{
    advice_cache cache;
    const std::set<std::string> agents{ "n1", "n2" };
    std::map<std::string, int> calls;
    for (int i = 0; i < 4; ++i) {
        const std::string agent = cache.chooseAgent(agents);
        cache.requestSent("a.0." + std::to_string(i), agent, start);
        ++calls[agent];
    }
    BOOST_TEST(calls["n1"] == 2);
    BOOST_TEST(calls["n2"] == 2);
    BOOST_TEST(cache.chooseAgent(agents).empty());
    cache.removeJob("a");
    BOOST_TEST(!cache.chooseAgent(agents).empty());
}

BOOST_AUTO_TEST_CASE(anAgentThatIsLostOrFailsLeavesTheStepToOthers)
{
    advice_cache cache;
    cache.requestSent(step, "n1", start);
    cache.agentLost("n1");
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start) == workers);
    cache.requestSent(step, "n2", start);
    cache.requestFailed(step, start);
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start).empty());
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start + milliseconds(400))
               == workers);
}

// The late answer to a call that counted as lost must not affect workers it did not ask about.
BOOST_AUTO_TEST_CASE(aLateAnswerMakesNoOtherWorkersUnfit)
{
    advice_cache cache;
    cache.requestSent(step, "n1", start);
    cache.agentLost("n1");
    cache.requestSent(step, "n2", start);
    cache.adviceReceived(step, { "w1" }, {}, milliseconds(3'000), start);
    const std::vector<std::string> expected{ "w2" };
    BOOST_TEST(cache.workersToQuery(step, workers, {}, false, start) == expected);
}

BOOST_AUTO_TEST_SUITE_END()
