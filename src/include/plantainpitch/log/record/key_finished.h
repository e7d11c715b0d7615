#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Stores the answer of a request with an idempotency key. Accepted if that request holds the key.
struct key_finished
{
    std::string account;
    std::string key;
    std::uint64_t entry = 0;
    std::uint64_t request = 0;
    std::uint32_t status = 0; ///< HTTP status
    std::string body; ///< at most 2 KB; longer answers are not stored
    bool bodyStored = true;

    bool operator==(const key_finished &) const = default;
};

} // namespace plantainpitch
