#include "plantainpitch/runtime/event_log.h"

#include "plantainpitch/runtime/manual_clock.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

// Counters have to go on when the rate limit drops lines, and must not grow with ids.
BOOST_AUTO_TEST_CASE(eventsAreCountedByReasonAlsoWhenTheirLinesAreSuppressed)
{
    const runtime::manual_clock time;
    runtime::logging lines(time, "error");
    runtime::metrics counters;
    runtime::event_log log(lines, counters);
    for (int i = 0; i < 300; ++i) {
        log.write({ log_level::info,
                    "call_refused",
                    { { "job", std::to_string(i) }, { "reason", "store_down" } } });
    }
    const std::string text = counters.text();
    BOOST_TEST(text.find("plantain_events_total{reason=\"call_refused:store_down\"} 300")
               != std::string::npos);
}
