#include "plantainpitch/runtime/log_rate_limiter.h"

namespace plantainpitch::runtime {

bool log_rate_limiter::admit(const std::string &event, instant now)
{
    const auto [place, isNew] = m_events.try_emplace(event, window_count{ .start = now });
    window_count &count = place->second;
    // A window with suppressed lines stays until takeSuppressed() has reported it.
    if (now - count.start >= m_window && count.suppressed == 0)
        count = { .start = now };
    if (count.written >= m_linesPerWindow) {
        ++count.suppressed;
        return false;
    }
    ++count.written;
    return true;
}

std::vector<write_log> log_rate_limiter::takeSuppressed(instant now)
{
    std::vector<write_log> lines;
    for (auto place = m_events.begin(); place != m_events.end();) {
        const window_count &count = place->second;
        if (now - count.start < m_window) {
            ++place;
            continue;
        }
        if (count.suppressed > 0) {
            lines.push_back({ .level = log_level::warning,
                              .event = "log_lines_suppressed",
                              .fields = { { "of", place->first },
                                          { "count", std::to_string(count.suppressed) } } });
        }
        place = m_events.erase(place);
    }
    return lines;
}

} // namespace plantainpitch::runtime
