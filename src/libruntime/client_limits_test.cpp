#include "plantainpitch/runtime/client_limits.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace plantainpitch::runtime;

namespace {

/// Settings of a program with these limits. Never destroyed: gflags keeps pointers to the flags.
struct limited_program
{
    client_limits limits;
    settings flags{ "limited-program", "does nothing" };

    limited_program() { limits.registerIn(flags); }

    static limited_program &instance()
    {
        static auto *program = new limited_program;
        return *program;
    }

    /// Returns what is wrong with the arguments; empty if they are accepted.
    std::string load(const std::vector<std::string> &arguments)
    {
        std::ostringstream output;
        std::ostringstream errors;
        const auto code = flags.load(
                arguments, [](const std::string & /*name*/) { return nullptr; }, output, errors);
        return code ? errors.str() : std::string();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(client_limits_test)

// Guards against a limit that can be set and is not used.
BOOST_AUTO_TEST_CASE(allLimitsReachTheListener)
{
    limited_program &program = limited_program::instance();
    const std::vector<std::string> arguments = {
        "--max_connections=11", "--max_request_header_bytes=2048", "--max_request_body_bytes=3000",
        "--max_early_bytes=44", "--max_held_request_bytes=5000",   "--request_read_timeout_ms=66",
        "--idle_timeout_ms=77"
    };
    BOOST_TEST(program.load(arguments).empty());
    const http_server_options options = program.limits.apply({ .address = "127.0.0.9" });
    BOOST_TEST(options.address == "127.0.0.9");
    BOOST_TEST(options.maxConnections == 11U);
    BOOST_TEST(options.maxHeaderBytes == 2048U);
    BOOST_TEST(options.maxBodyBytes == 3000U);
    BOOST_TEST(options.maxEarlyBytes == 44U);
    BOOST_TEST(options.maxHeldBytes == 5000U);
    BOOST_TEST(options.readTimeout.count() == 66);
    BOOST_TEST(options.idleTimeout.count() == 77);
}

// Guards against listeners for few clients that take as much memory as the main one.
BOOST_AUTO_TEST_CASE(minorListenersGetLess)
{
    const client_limits limits;
    const http_server_options main = limits.apply({});
    const http_server_options minor = limits.applyToMinor({});
    BOOST_TEST(minor.maxConnections < main.maxConnections);
    BOOST_TEST(minor.maxHeldBytes < main.maxHeldBytes);
    BOOST_TEST(minor.maxHeaderBytes == main.maxHeaderBytes);
}

BOOST_AUTO_TEST_SUITE_END()
