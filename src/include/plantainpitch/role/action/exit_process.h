#pragma once

namespace plantainpitch {

/// The graceful shutdown is complete: everything in flight has ended.
struct exit_process
{
    bool operator==(const exit_process &) const = default;
};

} // namespace plantainpitch
