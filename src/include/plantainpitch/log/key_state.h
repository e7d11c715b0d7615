#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Folded state of an idempotency key.
struct key_state
{
    std::uint64_t entry = 0;
    std::uint64_t request = 0;
    std::uint64_t digest = 0;
    std::int64_t claimedMs = 0; ///< wall clock, milliseconds since 1970
    bool finished = false;
    std::uint32_t status = 0;
    std::string body;
    bool bodyStored = false;

    bool operator==(const key_state &) const = default;
};

} // namespace plantainpitch
