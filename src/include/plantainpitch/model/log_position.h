#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace plantainpitch {

/// Place of a record in a log stream: the offset of its append and its index in that batch.
/// Positions of one stream are totally ordered. The zero position precedes every record.
struct log_position
{
    std::uint64_t value = 0;

    /// Largest number of records in one batch.
    static constexpr std::uint64_t maxBatchRecords = 1U << 16U;

    [[nodiscard]] static constexpr log_position of(std::uint64_t offset, std::uint64_t index)
    {
        return { .value = ((offset + 1) << 16U) | index };
    }

    [[nodiscard]] constexpr bool isNone() const { return value == 0; }
    /// Offset of the append; only valid if not isNone().
    [[nodiscard]] constexpr std::uint64_t offset() const { return (value >> 16U) - 1; }
    [[nodiscard]] constexpr std::uint64_t index() const { return value & (maxBatchRecords - 1); }

    // clang-tidy 14 takes the comparison with 0 in the defaulted operator for a null pointer.
    auto operator<=>(const log_position &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace plantainpitch

template <>
struct std::hash<plantainpitch::log_position>
{
    std::size_t operator()(const plantainpitch::log_position &position) const noexcept
    {
        return std::hash<std::uint64_t>()(position.value);
    }
};
