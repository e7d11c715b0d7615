#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace plantainpitch {

/// Identifies a caller's request: the incarnation of the entry that accepted it and a number that
/// this entry never uses again.
struct request_id
{
    std::uint64_t entry = 0;
    std::uint64_t number = 0;

    // clang-tidy 14 takes the comparison with 0 in the defaulted operator for a null pointer.
    auto operator<=>(const request_id &) const = default; // NOLINT(modernize-use-nullptr)

    [[nodiscard]] std::string toString() const
    {
        return std::to_string(entry) + '-' + std::to_string(number);
    }
};

} // namespace plantainpitch

template <>
struct std::hash<plantainpitch::request_id>
{
    std::size_t operator()(const plantainpitch::request_id &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.entry * 0x9E3779B97F4A7C15ULL ^ id.number);
    }
};
