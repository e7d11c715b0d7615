#include "command.h"

#include <boost/json/serialize.hpp>

namespace plantainpitch::ctl {

namespace json = boost::json;

namespace {

command_result submit(const admin_client &client, const ctl_options &options,
                      const command_arguments &names)
{
    json::object body{ { "version", 1 }, { "account", names.at(0) }, { "template", names.at(1) } };
    if (!options.jobId.empty())
        body["id"] = options.jobId;
    return { .output = client.call("POST", "/v1/jobs", json::serialize(body)) };
}

command_result showJob(const admin_client &client, const ctl_options &,
                       const command_arguments &names)
{
    return { .output = client.call("GET", "/v1/jobs/" + encodePath(names.at(0))) };
}

command_result cancel(const admin_client &client, const ctl_options &,
                      const command_arguments &names)
{
    return { .output = client.call("DELETE", "/v1/jobs/" + encodePath(names.at(0))) };
}

} // namespace

std::vector<command> jobCommands()
{
    return {
        { "submit", "ACCOUNT TEMPLATE", "submit a job; --id makes it safe to repeat the submission",
          2, submit },
        { "job", "ID", "show a job and its tasks", 1, showJob },
        { "cancel", "ID", "cancel a job", 1, cancel },
    };
}

} // namespace plantainpitch::ctl
