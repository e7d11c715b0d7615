#include "plantainpitch/runtime/log_line.h"
#include "plantainpitch/runtime/log_rate_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::runtime;

// Guards against a value that forges a second line or a second field.
BOOST_AUTO_TEST_CASE(valuesAreQuotedWhenNeeded)
{
    const std::string line = formatLogLine({ .level = log_level::warning,
                                             .event = "e",
                                             .fields = { { "a", "plain-1" },
                                                         { "b", "two words" },
                                                         { "c", "x\ny=\"1\"" },
                                                         { "d", "" },
                                                         { "e", std::string("\0\x1b", 2) } } });
    BOOST_TEST(line
               == "level=warning event=e a=plain-1 b=\"two words\" c=\"x\\ny=\\\"1\\\"\" d=\"\" "
                  "e=\"\\x00\\x1b\"");
}

// Guards against a line as long as what another program sent, up to megabytes.
BOOST_AUTO_TEST_CASE(longValuesAreCutOff)
{
    const std::string line = formatLogLine(
            { log_level::error, "e", { { "a", std::string(3'000'000, 'x') }, { "b", "c" } } });
    BOOST_TEST((line == "level=error event=e a=" + std::string(2'000, 'x') + "... b=c"));
}

// Guards against a repeated fault that fills the output, and against a silent gap.
BOOST_AUTO_TEST_CASE(repeatedEventsAreCountedInsteadOfWritten)
{
    log_rate_limiter limiter(2, std::chrono::seconds(10));
    const instant start(std::chrono::seconds(100));
    int written = 0;
    for (int i = 0; i < 7; ++i)
        written += limiter.admit({ .event = "fault" }, start) ? 1 : 0;
    BOOST_TEST(written == 2);
    BOOST_TEST(limiter.admit({ .event = "other" }, start));
    BOOST_TEST(limiter.takeSuppressed(start + std::chrono::seconds(9)).empty());

    const auto lines = limiter.takeSuppressed(start + std::chrono::seconds(10));
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines[0].event == "log_lines_suppressed");
    BOOST_TEST(
            (lines[0].fields == decltype(lines[0].fields){ { "of", "fault" }, { "count", "5" } }));
    BOOST_TEST(limiter.admit({ .event = "fault" }, start + std::chrono::seconds(10)));
}

// Guards against lines of long-running tasks that are lost among those of batch work (issue 17).
BOOST_AUTO_TEST_CASE(linesWithABudgetAreLimitedApartFromOthersOfTheirEvent)
{
    log_rate_limiter limiter(2, std::chrono::seconds(10));
    const instant start(std::chrono::seconds(100));
    const write_log batch{ .event = "run_ended" };
    const write_log lasting{ .event = "run_ended", .budget = "long_running" };
    int written = 0;
    for (int i = 0; i < 7; ++i)
        written += limiter.admit(batch, start) ? 1 : 0;
    BOOST_TEST(written == 2);
    written = 0;
    for (int i = 0; i < 5; ++i)
        written += limiter.admit(lasting, start) ? 1 : 0;
    BOOST_TEST(written == 2);

    const auto lines = limiter.takeSuppressed(start + std::chrono::seconds(10));
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST((lines[1].fields
                == decltype(lines[1].fields){
                        { "of", "run_ended" }, { "count", "3" }, { "budget", "long_running" } }));
}
