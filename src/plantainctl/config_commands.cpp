#include "command.h"
#include "command_failure.h"
#include "config_check.h"

#include "plantainpitch/model/error.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace plantainpitch::ctl {

namespace json = boost::json;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw command_failure(exit_code::usage, "usage", "cannot read the file " + path,
                              "give the path of a configuration");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// Calls \a action on a document; one that cannot be read ends the command.
template <typename Action>
auto onDocument(const Action &action)
{
    try {
        return action();
    } catch (const error &failure) {
        throw command_failure(exit_code::usage, "unreadable", failure.problem(), failure.remedy());
    }
}

/// Adds what is wrong with the configuration to the output; returns whether it has errors.
bool addFindings(const std::string &text, json::object &output)
{
    const auto findings = onDocument([&] { return platform::checkConfig(text); });
    json::array rows;
    for (const platform::config_finding &each : findings) {
        const bool isError = each.severity == platform::finding_severity::error;
        rows.push_back({ { "severity", isError ? "error" : "warning" },
                         { "path", each.path },
                         { "problem", each.problem },
                         { "remedy", each.remedy } });
    }
    output["findings"] = std::move(rows);
    return std::any_of(findings.begin(), findings.end(), [](const auto &each) {
        return each.severity == platform::finding_severity::error;
    });
}

command_result checkCommand(const admin_client & /*client*/, const ctl_options & /*options*/,
                            const command_arguments &arguments)
{
    command_result result;
    const bool hasErrors = addFindings(readFile(arguments[0]), result.output);
    result.code = hasErrors ? exit_code::refused : exit_code::done;
    return result;
}

command_result compareCommand(const admin_client & /*client*/, const ctl_options & /*options*/,
                              const command_arguments &arguments)
{
    command_result result;
    const std::string proposed = readFile(arguments[0]);
    const std::string inForce = readFile(arguments[1]);
    const bool hasErrors = addFindings(proposed, result.output);
    const auto differences =
            onDocument([&] { return platform::compareConfigs(inForce, proposed); });
    json::array rows;
    for (const platform::config_difference &each : differences)
        rows.push_back({ { "path", each.path },
                         { "in_force", each.inForce },
                         { "proposed", each.proposed } });
    result.output["differences"] = std::move(rows);
    if (hasErrors)
        result.code = exit_code::refused;
    else if (!differences.empty())
        result.code = exit_code::differences;
    return result;
}

} // namespace

std::vector<command> configCommands()
{
    return { { .name = "check-config",
               .usage = "FILE",
               .help = "lists all that is wrong with a configuration of the platform's operators",
               .argumentCount = 1,
               .run = checkCommand },
             { .name = "compare-config",
               .usage = "FILE IN_FORCE_FILE",
               .help = "the same, and what differs from the configuration in force",
               .argumentCount = 2,
               .run = compareCommand } };
}

} // namespace plantainpitch::ctl
