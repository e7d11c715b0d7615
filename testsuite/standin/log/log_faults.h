#pragma once

#include <cstdint>

namespace plantainpitch::standin {

/// Faults that the log shows until they are changed over POST /control.
struct log_faults
{
    bool outage = false; ///< every call answers 503
    std::int64_t appendDelayMs = 0; ///< before the append takes effect
    std::int64_t readDelayMs = 0;
    std::int64_t loseAppendAnswers = 0; ///< that many appends take effect without an answer
};

} // namespace plantainpitch::standin
