#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Reserves an idempotency key for one request of one entry. Accepted if the key is not held.
struct key_claimed
{
    std::string account;
    std::string key;
    std::uint64_t entry = 0; ///< incarnation of the entry
    std::uint64_t request = 0; ///< number of the request at that entry
    std::uint64_t digest = 0; ///< hash of method, path and body
    std::int64_t claimedMs = 0; ///< wall clock, milliseconds since 1970

    bool operator==(const key_claimed &) const = default;
};

} // namespace plantainpitch
