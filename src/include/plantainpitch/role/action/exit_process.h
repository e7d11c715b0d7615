#pragma once

namespace plantainpitch {

/// Exits the process. Sent when the graceful shutdown is complete and nothing is in flight.
struct exit_process
{
    bool operator==(const exit_process &) const = default;
};

} // namespace plantainpitch
