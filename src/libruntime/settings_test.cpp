#include "plantainpitch/runtime/settings.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <sstream>

using namespace plantainpitch::runtime;

namespace {

/// Settings of a test program. Never destroyed: gflags keeps pointers to the flags.
struct test_program
{
    std::string address = "127.0.0.1";
    std::uint32_t port = 7000;
    std::int64_t memory = 1;
    std::string name;
    settings flags{ "test-program", "does nothing" };

    test_program()
    {
        flags.group("Network");
        flags.add("test_address", address, "address to listen on", ipAddress());
        flags.add("test_port", port, "port; 0: chosen by the system", portNumber());
        flags.group("Limits");
        flags.add("test_memory_bytes", memory, "memory in bytes", numberBetween(1, 1LL << 50));
        flags.add("test_name", name, "name", notEmpty("n"));
    }

    static test_program &fresh()
    {
        static auto *program = new test_program;
        program->address = "127.0.0.1";
        program->port = 7000;
        program->memory = 1;
        program->name.clear();
        return *program;
    }

    std::optional<int> load(const std::vector<std::string> &arguments,
                            const std::map<std::string, std::string> &variables = {})
    {
        output.str({});
        errors.str({});
        const auto lookUp = [&variables](const std::string &name) -> const char * {
            const auto place = variables.find(name);
            return place == variables.end() ? nullptr : place->second.c_str();
        };
        return flags.load(arguments, lookUp, output, errors);
    }

    std::ostringstream output;
    std::ostringstream errors;
};

bool contains(const std::ostringstream &stream, const std::string &text)
{
    return stream.str().find(text) != std::string::npos;
}

} // namespace

// Guards against a setting that does not reach the program, and against an environment variable
// that overrides the command line.
BOOST_AUTO_TEST_CASE(commandLineTakesPrecedenceOverEnvironment)
{
    test_program &program = test_program::fresh();
    const auto exitCode = program.load(
            { "--test_port=1", "--test_name", "x" },
            { { "PLANTAIN_TEST_PORT", "2" }, { "PLANTAIN_TEST_MEMORY_BYTES", "1099511627776" } });
    BOOST_TEST(!exitCode);
    BOOST_TEST(program.port == 1U);
    BOOST_TEST(program.name == "x");
    BOOST_TEST(program.memory == 1LL << 40);
}

// Guards against an operator who has to start the program once for each mistake.
BOOST_AUTO_TEST_CASE(allErrorsAreListedWithTheirRemedies)
{
    test_program &program = test_program::fresh();
    const auto exitCode = program.load(
            { "--test_port=70000", "--tset_address=1", "stray", "--test_memory_bytes" },
            { { "PLANTAIN_TEST_ADDRESS", "nowhere" } });
    BOOST_TEST(exitCode.value() == 2);
    for (const char *part :
         { "--test_port: the value \"70000\" is not accepted; give a whole number from 0 to 65535",
           "--tset_address: unknown flag; the nearest name is --test_address",
           "\"stray\" is not a flag", "--test_memory_bytes: the value is missing",
           "PLANTAIN_TEST_ADDRESS: the value \"nowhere\" is not accepted; give an IP address",
           "--test_name: not set; give a value, for example n", "6 settings are wrong" })
        BOOST_TEST(contains(program.errors, part), part << " in " << program.errors.str());
}

// Guards against numbers that are cut or wrapped instead of refused.
BOOST_AUTO_TEST_CASE(malformedNumbersAreRefused)
{
    for (const char *value :
         { "", " 1", "1x", "-1", "0x10", "4294967297", "1e3", "99999999999999999999" }) {
        test_program &program = test_program::fresh();
        BOOST_TEST((program.load({ "--test_name=x", std::string("--test_port=") + value }) == 2),
                   value);
    }
}

// Guards against --check that starts the program, and against help that hides units or groups.
BOOST_AUTO_TEST_CASE(checkHelpAndVersionStopTheProgram)
{
    test_program &program = test_program::fresh();
    BOOST_TEST((program.load({ "--check", "--test_name=x" }) == 0));
    BOOST_TEST((program.load({ "--check", "--test_port=x" }) == 2));
    BOOST_TEST((program.load({ "--version" }) == 0));
    BOOST_TEST(contains(program.output, "test-program " PLANTAIN_VERSION));
    BOOST_TEST((program.load({ "--help" }) == 0));
    for (const char *part :
         { "Network:", "Limits:", "--test_memory_bytes\n      memory in bytes", "(default: 7000)",
           "PLANTAIN_TEST_ADDRESS", "      accepted: a whole number from " })
        BOOST_TEST(contains(program.output, part), part);
}

// Guards against settings that are right one by one and wrong together.
BOOST_AUTO_TEST_CASE(checksAcrossSettingsAreReported)
{
    test_program &program = test_program::fresh();
    program.flags.addCheck([&program] {
        return program.port == 13 ? std::string("--test_port: 13 is taken; give another")
                                  : std::string();
    });
    BOOST_TEST((program.load({ "--test_name=x", "--test_port=13" }) == 2));
    BOOST_TEST(contains(program.errors, "13 is taken"));
    BOOST_TEST(!program.load({ "--test_name=x", "--test_port=14" }));
}
