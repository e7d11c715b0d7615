#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>

namespace plantainpitch {

/// Load of one endpoint when a request arrives.
struct admission_load
{
    std::uint32_t slots = 1;
    std::uint32_t running = 0; ///< requests in a slot
    std::uint32_t queued = 0;
};

/// Decides whether a request that has to wait can still finish before its deadline.
class admission_policy
{
public:
    admission_policy() = default;
    admission_policy(const admission_policy &) = delete;
    admission_policy &operator=(const admission_policy &) = delete;
    virtual ~admission_policy() = default;

    /// \a timeLeft is the time until the request's deadline.
    [[nodiscard]] virtual bool canFinish(const admission_load &load, duration timeLeft) const = 0;

    /// Reports the service time of one finished request.
    virtual void onServiceTime(duration value) = 0;
};

} // namespace plantainpitch
