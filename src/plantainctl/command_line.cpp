#include "command_line.h"

namespace plantainpitch::ctl {

namespace {

bool isFlag(const std::string &argument)
{
    return argument.starts_with("-") && argument.size() > 1;
}

bool hasNoValue(const std::string &flag)
{
    return flag == "--help" || flag == "--version" || flag == "--check"
           || flag.find('=') != std::string::npos;
}

} // namespace

command_line divide(const std::vector<std::string> &arguments)
{
    command_line result;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const auto &argument = arguments[i];
        if (!isFlag(argument)) {
            result.words.push_back(argument);
            continue;
        }
        result.flags.push_back(argument == "-h" ? "--help" : argument);
        if (!hasNoValue(result.flags.back()) && i + 1 < arguments.size()
            && !isFlag(arguments[i + 1]))
            result.flags.push_back(arguments[++i]);
    }
    for (const auto &flag : result.flags)
        result.help = result.help || flag == "--help";
    result.help = result.help || (result.words.empty() && result.flags.empty())
                  || (!result.words.empty() && result.words.front() == "help");
    return result;
}

} // namespace plantainpitch::ctl
