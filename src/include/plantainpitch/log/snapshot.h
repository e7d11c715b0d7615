#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// A complete snapshot of a stream's state.
struct snapshot
{
    std::uint64_t through = 0; ///< offset of the last batch in the state
    std::uint64_t digest = 0;
    std::string data; ///< for loadSnapshot()

    bool operator==(const snapshot &) const = default;
};

} // namespace plantainpitch
