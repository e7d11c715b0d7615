#pragma once

#include <string>
#include <vector>

namespace plantainpitch::ctl {

/// Command-line arguments, divided.
struct command_line
{
    std::vector<std::string> words; ///< command and its arguments
    std::vector<std::string> flags; ///< "--name=value", or "--name" and "value"
    bool help = false; ///< --help, or no command, or the command help
};

command_line divide(const std::vector<std::string> &arguments);

} // namespace plantainpitch::ctl
