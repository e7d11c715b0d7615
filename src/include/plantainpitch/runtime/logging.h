#pragma once

#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/runtime/clock.h"

#include <memory>
#include <string>

namespace plantainpitch::runtime {

enum class log_stream { standard_error, standard_output };

/// Writes log lines through log4cplus. Thread-safe. One per process.
class logging
{
public:
    /// \a level is debug, info, warning or error.
    logging(const clock &time, const std::string &level,
            log_stream stream = log_stream::standard_error);
    ~logging();

    void write(const write_log &line);
    /// Reports lines that the rate limit suppressed; to be called regularly.
    void reportSuppressed();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
