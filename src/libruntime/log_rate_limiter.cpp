#include "plantainpitch/runtime/log_rate_limiter.h"

namespace plantainpitch::runtime {

bool log_rate_limiter::admit(const write_log &line, instant now)
{
    const auto [place, isNew] =
            m_counts.try_emplace({ line.event, line.budget }, window_count{ .start = now });
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
    for (auto place = m_counts.begin(); place != m_counts.end();) {
        const window_count &count = place->second;
        if (now - count.start < m_window) {
            ++place;
            continue;
        }
        if (count.suppressed > 0) {
            write_log line{ .level = log_level::warning,
                            .event = "log_lines_suppressed",
                            .fields = { { "of", place->first.first },
                                        { "count", std::to_string(count.suppressed) } } };
            if (!place->first.second.empty())
                line.fields.emplace_back("budget", place->first.second);
            lines.push_back(std::move(line));
        }
        place = m_counts.erase(place);
    }
    return lines;
}

} // namespace plantainpitch::runtime
