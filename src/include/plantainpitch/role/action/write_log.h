#pragma once

#include <string>
#include <utility>
#include <vector>

namespace plantainpitch {

enum class log_level { debug, info, warning, error };

/// Structured log line: event=<event> key=value...
struct write_log
{
    log_level level = log_level::info;
    std::string event; ///< snake case, e.g. "task_claimed"
    std::vector<std::pair<std::string, std::string>> fields;
    /// Lines of one event with the same budget share its rate limit. From a small fixed set; empty
    /// for most lines.
    std::string budget = {};

    bool operator==(const write_log &) const = default;
};

} // namespace plantainpitch
