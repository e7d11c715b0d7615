#pragma once

#include "plantainpitch/runtime/clock.h"

namespace plantainpitch::runtime {

/// CLOCK_BOOTTIME: unlike CLOCK_MONOTONIC it goes on while the VM is suspended, so that a process
/// that resumes sees that its leases have ended.
class system_clock_boottime : public clock
{
public:
    [[nodiscard]] instant now() const override;
    [[nodiscard]] std::int64_t wallMs() const override;
};

} // namespace plantainpitch::runtime
