#include "command.h"
#include "command_failure.h"

namespace plantainpitch::ctl {

namespace {

command_result status(const admin_client &client, const ctl_options &, const command_arguments &)
{
    return { .output = client.call("GET", "/v1/status") };
}

command_result drain(const admin_client &client, const ctl_options &,
                     const command_arguments &names)
{
    return { .output = client.call("POST", "/v1/vms/" + encodePath(names.at(0)) + "/drain") };
}

command_result explain(const admin_client &client, const ctl_options &,
                       const command_arguments &names)
{
    const auto &kind = names.at(0);
    if (kind != "task" && kind != "endpoint" && kind != "service")
        throw command_failure(exit_code::usage, "usage", "cannot explain \"" + kind + '"',
                              "type explain task JOB/INDEX, explain endpoint VM or explain service "
                              "TEMPLATE");
    return { .output = client.call("GET", "/v1/explain/" + kind + '/' + encodePath(names.at(1))) };
}

} // namespace

std::vector<command> fleetCommands()
{
    return {
        { "status", "", "show entries, VMs, jobs and revisions in force", 0, status },
        { "drain", "VM", "let a VM finish its work and leave", 1, drain },
        { "explain", "task|endpoint|service NAME", "say why it is in its present state", 2,
          explain },
    };
}

} // namespace plantainpitch::ctl
