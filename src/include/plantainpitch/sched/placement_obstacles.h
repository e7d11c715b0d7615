#pragma once

#include <cstdint>

namespace plantainpitch::sched {

/// Numbers of workers by what keeps a task from them. A worker counts once, under the first that
/// applies in the order of the members.
struct placement_obstacles
{
    std::uint32_t workers = 0; ///< all
    std::uint32_t notConnected = 0;
    std::uint32_t notReady = 0;
    std::uint32_t evacuated = 0; ///< in an evacuated data centre
    std::uint32_t unresponsive = 0;
    std::uint32_t unsuitable = 0; ///< other service, or without the required label
    std::uint32_t trial = 0; ///< hosts the trial run of a task that may crash its worker
    std::uint32_t vmLimit = 0; ///< runs as many tasks of the step as allowed
    std::uint32_t noTicket = 0;
    std::uint32_t cpu = 0; ///< too little free
    std::uint32_t memory = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t held = 0; ///< has room, but it is held for other tasks
    std::uint32_t notAdmitted = 0; ///< the placement policy leaves it out
    std::uint32_t excluded = 0; ///< has room, but is excluded

    bool operator==(const placement_obstacles &) const = default;
};

} // namespace plantainpitch::sched
