#include "command.h"
#include "command_failure.h"
#include "document_file.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <map>

namespace plantainpitch::ctl {

namespace json = boost::json;

namespace {

/// The document in an answer to GET: its member "document", as an object or as text.
std::string documentOf(const json::object &answer)
{
    if (const auto *document = answer.if_contains("document")) {
        return document->is_string() ? std::string(document->get_string())
                                     : json::serialize(*document);
    }
    json::object rest = answer;
    rest.erase("revision");
    return json::serialize(rest);
}

/// The entity as it is in force; nothing if it is absent.
std::optional<json::object> current(const admin_client &client, const document_file &file)
{
    try {
        return client.call("GET", file.target);
    } catch (const command_failure &failure) {
        if (failure.kind() == "not_found")
            return std::nullopt;
        throw;
    }
}

std::int64_t revisionOf(const json::object &answer)
{
    const auto *revision = answer.if_contains("revision");
    boost::system::error_code code;
    const auto value = revision ? revision->to_number<std::int64_t>(code) : 0;
    if (!revision || code)
        throw command_failure(exit_code::refused, "protocol_error",
                              "the server's answer has no revision",
                              "check that the entry has the version of this program");
    return value;
}

command_result validate(const admin_client &, const ctl_options &, const command_arguments &names)
{
    const auto file = loadDocument(names.at(0));
    return { .output = { { "kind", file.kind }, { "name", file.name }, { "valid", true } } };
}

command_result publish(const admin_client &client, const ctl_options &options,
                       const command_arguments &names)
{
    const auto file = loadDocument(names.at(0));
    auto base = options.baseRevision;
    if (base < 0) {
        const auto before = current(client, file);
        base = before ? revisionOf(*before) : 0;
    }
    auto answer =
            client.call("PUT", file.target + "?base_revision=" + std::to_string(base), file.text);
    answer["kind"] = file.kind;
    answer["name"] = file.name;
    return { .output = std::move(answer) };
}

command_result get(const admin_client &client, const ctl_options &, const command_arguments &names)
{
    if (names.at(0) != "template" && names.at(0) != "parameters")
        throw command_failure(exit_code::usage, "usage",
                              "unknown kind of document \"" + names.at(0) + '"',
                              "type get template NAME, or get parameters ACCOUNT/TEMPLATE");
    return { .output = client.call("GET", documentTarget(names.at(0), names.at(1))) };
}

/// Values by path, e.g. "task_resources.memory_bytes".
void flatten(const json::value &value, const std::string &path,
             std::map<std::string, json::value> &fields)
{
    if (!value.is_object()) {
        fields[path] = value;
        return;
    }
    for (const auto &member : value.get_object())
        flatten(member.value(),
                path.empty() ? std::string(member.key()) : path + '.' + std::string(member.key()),
                fields);
}

json::array differences(const json::object &before, const json::object &after)
{
    std::map<std::string, json::value> old;
    std::map<std::string, json::value> next;
    flatten(before, "", old);
    flatten(after, "", next);
    json::array result;
    for (const auto &[path, value] : next) {
        if (!old.contains(path) || old[path] != value)
            result.push_back(
                    json::object{ { "field", path },
                                  { "in_force", old.contains(path) ? old[path] : json::value() },
                                  { "file", value } });
    }
    for (const auto &[path, value] : old) {
        if (!next.contains(path))
            result.push_back(
                    json::object{ { "field", path }, { "in_force", value }, { "file", nullptr } });
    }
    return result;
}

command_result diff(const admin_client &client, const ctl_options &, const command_arguments &names)
{
    const auto file = loadDocument(names.at(0));
    const auto before = current(client, file);
    const auto old = before ? normalize(file.kind, documentOf(*before)) : json::object();
    auto changes = differences(old, file.normalized);
    const auto code = changes.empty() ? exit_code::done : exit_code::differences;
    return { .output = { { "kind", file.kind },
                         { "name", file.name },
                         { "revision", before ? revisionOf(*before) : 0 },
                         { "differences", std::move(changes) } },
             .code = code };
}

} // namespace

std::vector<command> documentCommands()
{
    return {
        { "validate", "FILE", "check a template or parameters document without a server", 1,
          validate },
        { "publish", "FILE",
          "put a document into force; --base_revision makes it fail if another revision is in "
          "force",
          1, publish },
        { "get", "template NAME | parameters ACCOUNT/TEMPLATE",
          "show a document that is in force, with its defaults", 2, get },
        { "diff", "FILE", "compare a document with the one in force", 1, diff },
    };
}

} // namespace plantainpitch::ctl
