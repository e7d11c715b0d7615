#include "plantainpitch/runtime/process_loop.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>

using namespace plantainpitch::runtime;
using namespace std::chrono_literals;

// Guards against a SIGTERM that is lost or that ends the process while something is in flight.
BOOST_AUTO_TEST_CASE(signalLeadsToAStopThatWaits)
{
    process_loop loop(2);
    std::atomic<int> ticks{ 0 };
    std::atomic<int> stops{ 0 };
    std::atomic<int> idleChecks{ 0 };
    loop.run({ .tick =
                       [&] {
                           // Twice: the second signal must not cut the stop short.
                           if (++ticks <= 2)
                               std::raise(SIGTERM);
                       },
               .stop =
                       [&] {
                           ++stops;
                           loop.finish([&] { return ++idleChecks == 30 && ticks >= 2; }, 10s);
                       },
               .fault = [](const std::exception &) { BOOST_ERROR("a handler threw"); } });
    BOOST_TEST(stops == 1);
    BOOST_TEST(idleChecks == 30);
}

// Guards against a stop that never ends because a peer does not take the last bytes.
BOOST_AUTO_TEST_CASE(stopHasALimit)
{
    process_loop loop(1);
    loop.run({ .tick = [&] { loop.finish([] { return false; }, 20ms); },
               .stop = [] {},
               .fault = [](const std::exception &) {} });
}

// Guards against an exception in a handler that ends a thread unseen.
BOOST_AUTO_TEST_CASE(exceptionsOfHandlersAreReported)
{
    process_loop loop(1);
    std::string fault;
    loop.run({ .tick = [] { throw std::logic_error("broken"); },
               .stop = [] {},
               .fault = [&fault](const std::exception &e) { fault = e.what(); } });
    BOOST_TEST(fault == "broken");
}
