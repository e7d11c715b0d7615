#include "plantainpitch/runtime/log_line.h"

#include <algorithm>

namespace plantainpitch::runtime {

namespace {

/// Longer values are cut off: they may hold what another program sent.
constexpr std::size_t maxValueBytes = 2'000;

const char *levelName(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

bool isPlain(char c)
{
    return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f';
}

void appendEscaped(std::string &line, char c)
{
    const auto byte = static_cast<unsigned char>(c);
    static constexpr const char *digits = "0123456789abcdef";
    if (c == '"' || c == '\\')
        line.append({ '\\', c });
    else if (c == '\n')
        line += "\\n";
    else if (byte < 0x20 || byte >= 0x7f)
        line.append({ '\\', 'x', digits[byte >> 4U], digits[byte & 15U] });
    else
        line += c;
}

} // namespace

std::string formatLogLine(const write_log &line)
{
    std::string text = std::string("level=") + levelName(line.level) + " event=" + line.event;
    for (const auto &[key, fullValue] : line.fields) {
        std::string value = fullValue.substr(0, maxValueBytes);
        if (value.size() < fullValue.size())
            value += "...";
        text += ' ' + key + '=';
        if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
            text += value;
            continue;
        }
        text += '"';
        for (const char c : value)
            appendEscaped(text, c);
        text += '"';
    }
    return text;
}

} // namespace plantainpitch::runtime
