#pragma once

#include <cstdint>

namespace plantainpitch::sched {

/// State of a job as clients see it.
enum class job_state : std::uint8_t { queued, running, completed, failed, cancelled };

/// How a job has ended, as stored.
enum class job_outcome : std::uint8_t { open, completed, failed, cancelled };

} // namespace plantainpitch::sched
