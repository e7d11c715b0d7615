#include "command.h"

#include "../libruntime/edit_distance.h"
#include "command_failure.h"

#include <algorithm>

namespace plantainpitch::ctl {

std::vector<command> allCommands()
{
    auto commands = documentCommands();
    for (const auto &more : { jobCommands(), fleetCommands(), configCommands() })
        commands.insert(commands.end(), more.begin(), more.end());
    return commands;
}

const command &findCommand(const std::vector<command> &commands, const std::string &name)
{
    const auto distance = [&name](const command &candidate) {
        return runtime::detail::editDistance(name, candidate.name);
    };
    const auto nearest = std::min_element(
            commands.begin(), commands.end(),
            [&distance](const command &a, const command &b) { return distance(a) < distance(b); });
    if (nearest->name == name)
        return *nearest;
    const auto suggestion = nearest->name + (nearest->usage.empty() ? "" : ' ' + nearest->usage);
    throw command_failure(exit_code::usage, "usage", "unknown command \"" + name + '"',
                          "type plantainctl " + suggestion
                                  + ", or plantainctl help for all commands");
}

} // namespace plantainpitch::ctl
