#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Answer to an append_call. If not ok, the append may have taken effect all the same.
struct append_answer
{
    std::uint64_t callId = 0;
    std::string stream;
    bool ok = false;
    std::uint64_t offset = 0;

    bool operator==(const append_answer &) const = default;
};

} // namespace plantainpitch
