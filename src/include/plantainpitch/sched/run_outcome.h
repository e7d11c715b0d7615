#pragma once

#include <cstdint>

namespace plantainpitch::sched {

/// How a run on a worker has ended.
enum class run_outcome : std::uint8_t {
    done,
    failed, ///< through the task's or the worker's fault
    stopped, ///< by order
    lapsed, ///< its lease ended
    broken, ///< another member of its gang ended
    alone, ///< the other members of its gang did not start in time
};

} // namespace plantainpitch::sched
