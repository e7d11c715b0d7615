#pragma once

#include <cstdint>

namespace plantainpitch::sched {

enum class task_phase : std::uint8_t {
    waiting, ///< no run exists
    active, ///< a run was ordered; it may be starting, running or stopping
    done,
    dropped, ///< the job has ended and no run exists
};

} // namespace plantainpitch::sched
