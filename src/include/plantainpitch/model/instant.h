#pragma once

#include <chrono>

namespace plantainpitch {

/// Tag of the process clock: counts from an arbitrary start and includes time during which the VM
/// was suspended. Instants of different processes cannot be compared.
struct process_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<process_clock, duration>;
    // The standard library prescribes this name for clocks.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// Microseconds.
using duration = process_clock::duration;

/// A point in time of the process clock.
using instant = process_clock::time_point;

} // namespace plantainpitch
