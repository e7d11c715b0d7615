#include "command.h"

#include "plantainpitch/model/error.h"

#include <charconv>
#include <sstream>

namespace plantainpitch::standin {

namespace {

const std::string checkpointPrefix = "progress_ms=";

std::int64_t parseNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0)
        throw error(error_kind::invalid_argument, '"' + text + "\" is not a number",
                    "give a whole number that is not negative");
    return value;
}

} // namespace

command parseCommand(const std::string &text)
{
    command result;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ';');) {
        if (part.starts_with("run_ms="))
            result.runMs = parseNumber(part.substr(7));
        else if (part.starts_with("usage_milli="))
            result.usageMilli = parseNumber(part.substr(12));
        else if (part == "fail")
            result.fail = true;
        else
            throw error(error_kind::invalid_argument, "unknown part \"" + part + "\" of a command",
                        "use run_ms=N[;fail][;usage_milli=N]");
    }
    return result;
}

std::string toCheckpoint(std::int64_t progressUs)
{
    return checkpointPrefix + std::to_string(progressUs / 1000);
}

std::int64_t parseCheckpointUs(const std::string &text)
{
    if (text.empty())
        return 0;
    if (!text.starts_with(checkpointPrefix))
        throw error(error_kind::invalid_argument, '"' + text + "\" is not a checkpoint",
                    "use progress_ms=N");
    return parseNumber(text.substr(checkpointPrefix.size())) * 1000;
}

} // namespace plantainpitch::standin
