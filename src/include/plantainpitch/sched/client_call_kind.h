#pragma once

#include <cstdint>

namespace plantainpitch::sched {

enum class call_kind : std::uint8_t { submit, query, cancel, count_pending };

enum class call_outcome : std::uint8_t {
    done,
    unknown_job,
    rejected, ///< not accepted and never run
    unavailable, ///< the owner cannot answer; nothing was done
};

} // namespace plantainpitch::sched
