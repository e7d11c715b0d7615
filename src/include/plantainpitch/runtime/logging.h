#pragma once

#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/runtime/clock.h"

#include <memory>
#include <string>

namespace plantainpitch::runtime {

/// Writes log lines to stderr through log4cplus. Thread-safe. One per process.
class logging
{
public:
    /// \a level is debug, info, warning or error.
    logging(const clock &time, const std::string &level);
    ~logging();

    void write(const write_log &line);
    /// Reports lines that the rate limit suppressed; to be called regularly.
    void reportSuppressed();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
