#pragma once

#include <cstdint>

namespace plantainpitch {

/// Tasks of a team.
struct team_usage
{
    std::uint32_t running = 0;
    std::uint32_t quota = 0; ///< most tasks at once; 0: no quota

    bool operator==(const team_usage &) const = default;
};

} // namespace plantainpitch
