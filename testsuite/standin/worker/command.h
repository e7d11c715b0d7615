#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch::standin {

/// What a task does: "run_ms=N[;fail][;usage_milli=N]".
struct command
{
    std::int64_t runMs = 0; ///< progress at which it ends; 0: never
    bool fail = false; ///< ends as failed
    std::int64_t usageMilli = -1; ///< processors it really uses; -1: as declared
};

/// Throws error(invalid_argument) if the text is not a command.
command parseCommand(const std::string &text);

/// "progress_ms=N", the form of checkpoints. Throws error(invalid_argument) on parsing other text;
/// empty text is no progress.
std::string toCheckpoint(std::int64_t progressUs);
std::int64_t parseCheckpointUs(const std::string &text);

} // namespace plantainpitch::standin
