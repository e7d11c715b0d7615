#include "support/target.h"

#include <charconv>
#include <sstream>

namespace plantainpitch::standin {

namespace {

std::string decode(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            result.push_back(static_cast<char>(value));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

} // namespace

target::target(const std::string &text)
{
    const auto question = text.find('?');
    // Decoded first: the id of a task may come as "job/0" or as one segment "job%2F0".
    segments = split(decode(text.substr(0, question)), '/');
    if (question == std::string::npos)
        return;
    for (const auto &part : split(text.substr(question + 1), '&')) {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            query[decode(part.substr(0, equals))] = decode(part.substr(equals + 1));
    }
}

std::uint64_t target::number(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return fallback;
    std::uint64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto result = std::from_chars(found->second.data(), end, value);
    return result.ec == std::errc() && result.ptr == end ? value : fallback;
}

} // namespace plantainpitch::standin
