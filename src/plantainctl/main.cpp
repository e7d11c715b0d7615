#include "command.h"
#include "command_failure.h"
#include "command_line.h"
#include "plantainpitch/runtime/host_port.h"
#include "plantainpitch/runtime/settings.h"
#include "render_text.h"

#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <iostream>

using namespace plantainpitch;
using namespace plantainpitch::ctl;
namespace json = boost::json;

namespace {

void printCommands(const std::vector<command> &commands)
{
    std::cout << "Usage: plantainctl COMMAND [ARGUMENTS] [--flag=value]\n\nCommands:\n";
    for (const auto &one : commands)
        std::cout << "  " << one.name << (one.usage.empty() ? "" : " ") << one.usage << "\n      "
                  << one.help << '\n';
    std::cout << "\nExit codes: 0 done, 1 refused, 2 wrong command line, 3 revision conflict,\n"
                 "4 server not reached (nothing changed), 5 no answer (the call may have taken\n"
                 "effect), 6 diff or compare-config found differences.\n\n";
}

void addFlags(runtime::settings &flags, ctl_options &options)
{
    flags.group("Server");
    flags.add("server", options.server, "administration address and port of any entry",
              { .accepts =
                        [](const std::string &text) {
                            return runtime::parseHostPort(text).has_value();
                        },
                .description = "an address and a port, e.g. 10.0.0.5:7001" });
    flags.add("timeout_ms", options.timeoutMs,
              "time to wait for an answer in milliseconds; after it the outcome of a change is not "
              "known (exit code 5)",
              runtime::numberBetween(1, 600'000));
    flags.group("Commands");
    flags.add("output", options.output,
              "form of the output; errors are JSON on standard output with json, text on standard "
              "error otherwise",
              runtime::oneOf({ "text", "json" }));
    flags.add("base_revision", options.baseRevision,
              "publish: revision that must be in force, 0 for a new document; -1: read it first",
              { .accepts = runtime::numberBetween(-1, INT64_MAX).accepts,
                .description = "-1, 0 or the revision that get shows" });
    flags.add(
            "id", options.jobId,
            "submit: job id, which makes it safe to repeat the command; empty: chosen by the entry",
            runtime::anyValue());
}

void print(const json::object &object, bool asJson)
{
    std::cout << (asJson ? json::serialize(object) + '\n' : renderText(object));
}

int reportFailure(const command_failure &failure, bool asJson)
{
    if (asJson)
        print({ { "error", json::object{ { "kind", failure.kind() },
                                         { "message", failure.what() },
                                         { "remedy", failure.remedy() } } } },
              true);
    else
        std::cerr << "plantainctl: " << failure.what() << "; " << failure.remedy() << '\n';
    return static_cast<int>(failure.code());
}

int run(const std::vector<command> &commands, const ctl_options &options,
        const std::vector<std::string> &words)
{
    if (words.empty())
        throw command_failure(exit_code::usage, "usage", "no command",
                              "type plantainctl help for all commands");
    const auto &chosen = findCommand(commands, words.front());
    const command_arguments arguments(words.begin() + 1, words.end());
    if (arguments.size() != chosen.argumentCount) {
        const auto count = std::to_string(chosen.argumentCount)
                           + (chosen.argumentCount == 1 ? " argument" : " arguments");
        throw command_failure(exit_code::usage, "usage",
                              chosen.name + " takes " + count + ", not "
                                      + std::to_string(arguments.size()),
                              "type plantainctl " + chosen.name
                                      + (chosen.usage.empty() ? "" : ' ' + chosen.usage));
    }
    const auto server = runtime::parseHostPort(options.server).value();
    const admin_client client(server.host, server.port,
                              std::chrono::milliseconds(options.timeoutMs));
    const auto result = chosen.run(client, options, arguments);
    print(result.output, options.output == "json");
    return static_cast<int>(result.code);
}

} // namespace

int main(int argc, char **argv)
{
    const auto line = divide({ argv + 1, argv + argc });
    const auto commands = allCommands();
    ctl_options options;
    runtime::settings flags("plantainctl", "operators' command line of plantainpitch");
    addFlags(flags, options);
    if (line.help)
        printCommands(commands);
    auto arguments = line.flags;
    if (line.help)
        arguments = { "--help" };
    const auto environment = [](const std::string &name) { return std::getenv(name.c_str()); };
    if (const auto code = flags.load(arguments, environment, std::cout, std::cerr))
        return *code;
    try {
        return run(commands, options, line.words);
    } catch (const command_failure &failure) {
        return reportFailure(failure, options.output == "json");
    }
}
