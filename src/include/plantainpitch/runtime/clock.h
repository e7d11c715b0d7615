#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>

namespace plantainpitch::runtime {

/// Source of time. Thread-safe.
class clock
{
public:
    virtual ~clock() = default;

    /// Process clock; includes time during which the VM was suspended.
    [[nodiscard]] virtual instant now() const = 0;
    /// Wall clock, milliseconds since 1970.
    [[nodiscard]] virtual std::int64_t wallMs() const = 0;
};

} // namespace plantainpitch::runtime
