#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Asks a peer entry for the batches of a stream that it has read from fromOffset on.
struct peer_pull
{
    std::string stream;
    std::uint64_t fromOffset = 0;

    bool operator==(const peer_pull &) const = default;
};

} // namespace plantainpitch
