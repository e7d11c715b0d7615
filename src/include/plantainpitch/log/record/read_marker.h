#pragma once

#include <cstdint>

namespace plantainpitch {

/// Changes nothing. A process that reads back its own marker has read everything that was
/// appended before, even from a part of the log service that is behind.
struct read_marker
{
    std::uint64_t number = 0;

    bool operator==(const read_marker &) const = default;
};

} // namespace plantainpitch
