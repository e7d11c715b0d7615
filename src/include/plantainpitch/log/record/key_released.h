#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Frees an idempotency key whose request was proven not to have run.
struct key_released
{
    std::string account;
    std::string key;
    std::uint64_t entry = 0;
    std::uint64_t request = 0;

    bool operator==(const key_released &) const = default;
};

} // namespace plantainpitch
