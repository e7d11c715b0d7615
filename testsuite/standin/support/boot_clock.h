#pragma once

#include <cstdint>
#include <ctime>

namespace plantainpitch::standin {

/// CLOCK_BOOTTIME in microseconds.
inline std::int64_t bootClockUs()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::int64_t{ time.tv_sec } * 1'000'000 + time.tv_nsec / 1'000;
}

} // namespace plantainpitch::standin
