#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace plantainpitch::sched {

/// Identifies a task: "<job>.<occurrence>.<step>.<index>".
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    [[nodiscard]] std::string text() const;
    /// Name of the task's step: "<job>.<occurrence>.<step>".
    [[nodiscard]] std::string stepText() const;
    /// Nothing if \a text is not a task name.
    static std::optional<task_name> parse(const std::string &text);

    auto operator<=>(const task_name &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace plantainpitch::sched
