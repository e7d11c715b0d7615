#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace plantainpitch {

/// One task of a job.
struct task_id
{
    std::string job;
    std::uint32_t index = 0;

    // clang-tidy 14 takes the comparison with 0 in the defaulted operator for a null pointer.
    auto operator<=>(const task_id &) const = default; // NOLINT(modernize-use-nullptr)

    /// "job/index", the form used in logs, in the administration API and towards workers.
    [[nodiscard]] std::string toString() const { return job + '/' + std::to_string(index); }
};

} // namespace plantainpitch

template <>
struct std::hash<plantainpitch::task_id>
{
    std::size_t operator()(const plantainpitch::task_id &id) const noexcept
    {
        return std::hash<std::string>()(id.job) * 31 + id.index;
    }
};
