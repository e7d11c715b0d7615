#include "plantainpitch/sched/task_name.h"

#include <charconv>

namespace plantainpitch::sched {

namespace {

/// Removes the last ".<number>" of \a rest.
std::optional<std::uint32_t> takeLastNumber(std::string &rest)
{
    const std::size_t dot = rest.rfind('.');
    if (dot == std::string::npos)
        return std::nullopt;
    std::uint32_t number = 0;
    const char *end = rest.data() + rest.size();
    const auto [parsed, status] = std::from_chars(rest.data() + dot + 1, end, number);
    if (status != std::errc() || parsed != end)
        return std::nullopt;
    rest.erase(dot);
    return number;
}

} // namespace

std::string task_name::text() const
{
    return stepText() + '.' + std::to_string(index);
}

std::string task_name::stepText() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step);
}

std::optional<task_name> task_name::parse(const std::string &text)
{
    std::string rest = text;
    const auto index = takeLastNumber(rest);
    const auto step = index ? takeLastNumber(rest) : std::nullopt;
    const auto occurrence = step ? takeLastNumber(rest) : std::nullopt;
    if (!occurrence || rest.empty())
        return std::nullopt;
    return task_name{ rest, *occurrence, *step, *index };
}

} // namespace plantainpitch::sched
