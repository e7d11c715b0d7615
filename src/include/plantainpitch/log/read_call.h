#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Read from the platform's log that the shell has to make.
struct read_call
{
    std::uint64_t callId = 0;
    std::string stream;
    std::uint64_t fromOffset = 0;
    std::uint32_t maxBatches = 1000;

    bool operator==(const read_call &) const = default;
};

} // namespace plantainpitch
