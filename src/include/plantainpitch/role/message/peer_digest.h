#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Read offsets of an entry in the log streams; sent to every peer entry every 500 ms.
struct peer_digest
{
    std::string name;
    std::uint64_t configNext = 0;
    std::uint64_t cellNext = 0;
    bool ready = false;
    bool logUnavailable = false;

    bool operator==(const peer_digest &) const = default;
};

} // namespace plantainpitch
