#include "plantainpitch/runtime/settings.h"

#include "edit_distance.h"

#include <gflags/gflags.h>

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <limits>

namespace plantainpitch::runtime {

namespace {

constexpr int badSettingsExitCode = 2;

std::string variableName(const std::string &flag)
{
    return "PLANTAIN_" + boost::algorithm::to_upper_copy(flag);
}

} // namespace

settings::settings(std::string program, std::string summary)
    : m_program(std::move(program))
    , m_summary(std::move(summary))
{}

void settings::group(const std::string &title)
{
    m_group = title;
}

settings::flag &settings::addFlag(const char *name, const std::string &help,
                                  const setting_rule &rule)
{
    return m_flags.emplace_back(
            flag{ .group = m_group, .name = name, .help = help, .defaultText = {}, .rule = rule });
}

void settings::add(const char *name, std::string &value, const std::string &help,
                   const setting_rule &rule)
{
    flag &added = addFlag(name, help, rule);
    added.stringDefault = value;
    added.defaultText = value;
    added.text = [&value] { return value; };
    const gflags::FlagRegisterer registered(added.name.c_str(), added.help.c_str(), "", &value,
                                            &added.stringDefault);
}

void settings::add(const char *name, std::uint32_t &value, const std::string &help,
                   const setting_rule &rule)
{
    flag &added = addFlag(name, help, rule);
    added.uint32Default = value;
    added.defaultText = std::to_string(value);
    added.text = [&value] { return std::to_string(value); };
    const gflags::FlagRegisterer registered(added.name.c_str(), added.help.c_str(), "", &value,
                                            &added.uint32Default);
}

void settings::add(const char *name, std::int64_t &value, const std::string &help,
                   const setting_rule &rule)
{
    flag &added = addFlag(name, help, rule);
    added.int64Default = value;
    added.defaultText = std::to_string(value);
    added.text = [&value] { return std::to_string(value); };
    const gflags::FlagRegisterer registered(added.name.c_str(), added.help.c_str(), "", &value,
                                            &added.int64Default);
}

void settings::addCheck(std::function<std::string()> problem)
{
    m_checks.push_back(std::move(problem));
}

std::optional<int> settings::load(const std::vector<std::string> &arguments,
                                  const environment &variables, std::ostream &output,
                                  std::ostream &errors)
{
    m_errors.clear();
    readEnvironment(variables);
    const request wanted = readArguments(arguments);
    if (wanted == request::help) {
        printHelp(output);
        return 0;
    }
    if (wanted == request::version) {
        output << m_program << ' ' << PLANTAIN_VERSION << '\n';
        return 0;
    }
    checkAll();
    checkAcrossFlags();
    if (!m_errors.empty()) {
        errors << m_program << ": " << m_errors.size()
               << (m_errors.size() == 1 ? " setting is wrong\n" : " settings are wrong\n");
        for (const std::string &line : m_errors)
            errors << "  " << line << '\n';
        errors << "  (" << m_program << " --help lists all settings)\n";
        return badSettingsExitCode;
    }
    if (wanted == request::check) {
        output << m_program << ": settings are valid\n";
        return 0;
    }
    return std::nullopt;
}

std::optional<int> settings::load(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    return load(
            arguments, [](const std::string &variable) { return std::getenv(variable.c_str()); },
            std::cout, std::cerr);
}

settings::flag *settings::find(const std::string &name)
{
    const auto found = std::find_if(m_flags.begin(), m_flags.end(),
                                    [&name](const flag &f) { return f.name == name; });
    return found == m_flags.end() ? nullptr : &*found;
}

void settings::set(flag &target, const std::string &origin, const std::string &value)
{
    // The rule comes first: gflags accepts more number formats and wraps some of them.
    const bool accepted =
            target.rule.accepts(value)
            && !gflags::SetCommandLineOption(target.name.c_str(), value.c_str()).empty();
    if (!accepted) {
        m_errors.push_back(origin + ": the value \"" + value + "\" is not accepted; give "
                           + target.rule.description);
    }
}

void settings::readEnvironment(const environment &variables)
{
    for (flag &f : m_flags) {
        const std::string variable = variableName(f.name);
        if (const char *value = variables(variable))
            set(f, variable, value);
    }
}

settings::request settings::readArguments(const std::vector<std::string> &arguments)
{
    request wanted = request::run;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (argument.compare(0, 2, "--") != 0) {
            m_errors.push_back("\"" + argument + "\" is not a flag; write --name=value");
            continue;
        }
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(2, equals - 2);
        if (name == "help" || name == "version" || name == "check") {
            wanted = name == "help"      ? request::help
                     : name == "version" ? request::version
                                         : request::check;
        } else if (flag *f = find(name); !f) {
            rejectUnknown(name);
            // The next argument is the unknown flag's value, not an error of its own.
            if (equals == std::string::npos && i + 1 < arguments.size()
                && arguments[i + 1].compare(0, 2, "--") != 0)
                ++i;
        } else if (equals != std::string::npos) {
            set(*f, "--" + name, argument.substr(equals + 1));
        } else if (i + 1 < arguments.size()) {
            set(*f, "--" + name, arguments[++i]);
        } else {
            m_errors.push_back("--" + name + ": the value is missing; give " + f->rule.description);
        }
    }
    return wanted;
}

void settings::rejectUnknown(const std::string &name)
{
    std::string nearest = "help";
    std::size_t nearestDistance = detail::editDistance(name, nearest);
    for (const flag &f : m_flags) {
        const std::size_t distance = detail::editDistance(name, f.name);
        if (distance < nearestDistance) {
            nearestDistance = distance;
            nearest = f.name;
        }
    }
    m_errors.push_back("--" + name + ": unknown flag; the nearest name is --" + nearest);
}

void settings::checkAll()
{
    for (const flag &f : m_flags) {
        const std::string value = f.text();
        const bool reported =
                std::any_of(m_errors.begin(), m_errors.end(), [&f](const std::string &line) {
                    return line.rfind("--" + f.name + ":", 0) == 0
                           || line.rfind(variableName(f.name) + ":", 0) == 0;
                });
        if (!reported && !f.rule.accepts(value)) {
            m_errors.push_back("--" + f.name
                               + (value.empty()
                                          ? ": not set; give "
                                          : ": the value \"" + value + "\" is not accepted; give ")
                               + f.rule.description);
        }
    }
}

void settings::checkAcrossFlags()
{
    for (const auto &check : m_checks) {
        if (std::string problem = check(); !problem.empty())
            m_errors.push_back(std::move(problem));
    }
}

void settings::printHelp(std::ostream &output) const
{
    output << m_program << ": " << m_summary << "\n\n"
           << "Every flag can also be set by an environment variable, for example --"
           << m_flags.front().name << " by " << variableName(m_flags.front().name)
           << ".\nFlags on the command line take precedence.\n";
    std::string title;
    for (const flag &f : m_flags) {
        if (f.group != title)
            output << '\n' << f.group << ":\n";
        title = f.group;
        output << "  --" << f.name << "\n      " << f.help;
        if (!f.rule.accepts(f.defaultText))
            output << " (required)\n";
        else if (f.defaultText.empty())
            output << " (default: empty)\n";
        else
            output << " (default: " << f.defaultText << ")\n";
        output << "      accepted: " << f.rule.description << '\n';
    }
    output << "\nGeneral:\n  --check\n      check the settings and stop\n"
           << "  --version\n      print the version and stop\n"
           << "  --help\n      print this text and stop\n";
}

} // namespace plantainpitch::runtime
