#include "load_generator.h"
#include "plantainpitch/runtime/settings.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace plantainpitch;
using namespace plantainpitch::load;

namespace {

void addFlags(runtime::settings &flags, load_options &options)
{
    using namespace plantainpitch::runtime;
    flags.group("Requests");
    flags.add("server", options.servers,
              "addresses and callers' ports of the entries; a request goes to the next one if a "
              "connection cannot be opened",
              addressList(false));
    flags.add("account", options.account, "client account whose service is called",
              notEmpty("acme"));
    flags.add("template", options.templateName, "name of the service template",
              notEmpty("strike-payout"));
    flags.add("path", options.path, "path within the service; {n} is the number of the request",
              anyValue());
    flags.add("method", options.method, "HTTP method", notEmpty("GET"));
    flags.add("body", options.body, "body; {n} is the number of the request", anyValue());
    flags.add("key", options.key, "prefix of the Idempotency-Key of each request; empty: no key",
              anyValue());
    flags.group("Load");
    flags.add("rate", options.rate, "requests a second over all servers",
              numberBetween(1, 1'000'000));
    flags.add("duration_s", options.durationS, "length of the run in seconds",
              numberBetween(1, 86'400));
    flags.add("connections", options.connections, "connections to each server",
              numberBetween(1, 100'000));
    flags.add("timeout_ms", options.timeoutMs,
              "deadline of each request in milliseconds, sent as X-Request-Timeout-Ms",
              numberBetween(1, 3'600'000));
    flags.add(
            "seed", options.seed,
            "seed of the times of requests, their keys and tokens; the same seed repeats the same "
            "Idempotency-Keys",
            numberBetween(0, UINT32_MAX));
    flags.group("Report");
    flags.add("output", options.output, "form of the report on standard output",
              oneOf({ "text", "json" }));
}

/// Takes --check_answers out of the arguments: it has no value.
bool takeCheckAnswers(std::vector<std::string> &arguments)
{
    return std::erase(arguments, "--check_answers") > 0;
}

void printOwnFlags()
{
    std::cout << "\nAnswers:\n  --check_answers\n      check that each answer contains the path of "
                 "its own request; exit code 1 if one does not\n";
}

bool wantsHelp(const std::vector<std::string> &arguments)
{
    return std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    load_options options;
    options.checkAnswers = takeCheckAnswers(arguments);
    runtime::settings flags("plantain-load", "load generator for the callers' port");
    addFlags(flags, options);
    const auto environment = [](const std::string &name) { return std::getenv(name.c_str()); };
    if (const auto code = flags.load(arguments, environment, std::cout, std::cerr)) {
        if (wantsHelp(arguments))
            printOwnFlags();
        return *code;
    }
    boost::asio::io_context context;
    load_generator generator(context, options, runtime::parseHostPorts(options.servers).value());
    generator.start();
    context.run();
    auto &report = generator.report();
    std::cout << (options.output == "json" ? boost::json::serialize(report.toJson()) + '\n'
                                           : report.toText());
    return report.wrongAnswers() > 0 ? 1 : 0;
}
