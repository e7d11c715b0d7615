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

    bool operator==(const write_log &) const = default;
};

} // namespace plantainpitch
