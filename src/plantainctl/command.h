#pragma once

#include "admin_client.h"
#include "ctl_options.h"
#include "exit_code.h"

#include <boost/json/object.hpp>

#include <functional>
#include <string>
#include <vector>

namespace plantainpitch::ctl {

/// What a command prints and how it ends.
struct command_result
{
    boost::json::object output;
    exit_code code = exit_code::done;
};

using command_arguments = std::vector<std::string>;

/// One command of plantainctl.
struct command
{
    std::string name;
    std::string usage; ///< arguments, e.g. "FILE"
    std::string help;
    std::size_t argumentCount = 0;
    std::function<command_result(const admin_client &, const ctl_options &,
                                 const command_arguments &)>
            run;
};

std::vector<command> documentCommands();
std::vector<command> jobCommands();
std::vector<command> fleetCommands();
std::vector<command> configCommands();
/// All of the above, in the order of the help text.
std::vector<command> allCommands();

/// The command of that name. Throws command_failure(usage) that names the nearest command.
const command &findCommand(const std::vector<command> &commands, const std::string &name);

} // namespace plantainpitch::ctl
