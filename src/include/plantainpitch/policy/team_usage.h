#pragma once

#include <cstdint>

namespace plantainpitch {

/// Running tasks and quota of a team.
struct team_usage
{
    std::uint32_t running = 0;
    std::uint32_t quota = 0; ///< maximum of running tasks; 0: no quota

    bool operator==(const team_usage &) const = default;
};

} // namespace plantainpitch
