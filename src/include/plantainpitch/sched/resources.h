#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch::sched {

/// Amounts of a worker's or a task's resources.
struct resources
{
    std::int64_t cpu = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    [[nodiscard]] bool fits(const resources &available) const
    {
        return cpu <= available.cpu && memoryMb <= available.memoryMb
               && accelerators <= available.accelerators;
    }

    /// The same, but compares only the resources that are needed; \a available may be negative.
    [[nodiscard]] bool fitsWhereNeeded(const resources &available) const
    {
        return (cpu == 0 || cpu <= available.cpu)
               && (memoryMb == 0 || memoryMb <= available.memoryMb)
               && (accelerators == 0 || accelerators <= available.accelerators);
    }

    bool operator==(const resources &) const = default;
};

/// Thousandths of a core, MB and accelerators, separated by slashes.
inline std::string textOf(const resources &amounts)
{
    return std::to_string(amounts.cpu) + "/" + std::to_string(amounts.memoryMb) + "/"
           + std::to_string(amounts.accelerators);
}

inline resources operator+(const resources &a, const resources &b)
{
    return { a.cpu + b.cpu, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators };
}

inline resources operator-(const resources &a, const resources &b)
{
    return { a.cpu - b.cpu, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators };
}

} // namespace plantainpitch::sched
