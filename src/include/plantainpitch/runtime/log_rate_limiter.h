#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action/write_log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::runtime {

/// Limits the lines of each event and budget per window, so that a repeated fault cannot fill the
/// disk or slow the process down. Not thread-safe.
class log_rate_limiter
{
public:
    log_rate_limiter(std::uint64_t linesPerWindow, duration window)
        : m_linesPerWindow(linesPerWindow)
        , m_window(window)
    {}

    /// True if this line may be written now.
    bool admit(const write_log &line, instant now);

    /// One line with the count for each event and budget that had lines suppressed in a window that
    /// is over.
    std::vector<write_log> takeSuppressed(instant now);

private:
    struct window_count
    {
        instant start;
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint64_t m_linesPerWindow;
    duration m_window;
    std::map<std::pair<std::string, std::string>, window_count> m_counts; ///< by event and budget
};

} // namespace plantainpitch::runtime
