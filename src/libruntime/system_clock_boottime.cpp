#include "plantainpitch/runtime/system_clock_boottime.h"

#include <chrono>
#include <ctime>

namespace plantainpitch::runtime {

instant system_clock_boottime::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t system_clock_boottime::wallMs() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace plantainpitch::runtime
