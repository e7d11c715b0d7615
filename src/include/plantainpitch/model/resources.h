#pragma once

#include <compare>
#include <cstdint>

namespace plantainpitch {

/// An amount of a VM's resources: its capacity, or what a task needs.
struct resources
{
    std::int64_t processorsMilli = 0; ///< thousandths of a processor
    std::int64_t memoryBytes = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources &) const = default;

    /// True if every component of this amount is at most that of \a other.
    [[nodiscard]] constexpr bool fitsIn(const resources &other) const
    {
        return processorsMilli <= other.processorsMilli && memoryBytes <= other.memoryBytes
               && accelerators <= other.accelerators;
    }
};

[[nodiscard]] constexpr resources operator+(const resources &a, const resources &b)
{
    return { .processorsMilli = a.processorsMilli + b.processorsMilli,
             .memoryBytes = a.memoryBytes + b.memoryBytes,
             .accelerators = a.accelerators + b.accelerators };
}

[[nodiscard]] constexpr resources operator-(const resources &a, const resources &b)
{
    return { .processorsMilli = a.processorsMilli - b.processorsMilli,
             .memoryBytes = a.memoryBytes - b.memoryBytes,
             .accelerators = a.accelerators - b.accelerators };
}

} // namespace plantainpitch
