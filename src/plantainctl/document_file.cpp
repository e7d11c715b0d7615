#include "document_file.h"

#include "admin_client.h"
#include "command_failure.h"
#include "plantainpitch/model/documents.h"
#include "plantainpitch/model/error.h"

#include <boost/json/parse.hpp>

#include <fstream>
#include <iterator>

namespace plantainpitch::ctl {

namespace json = boost::json;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw command_failure(exit_code::refused, "not_found", "cannot read the file " + path,
                              "give the path of a template or parameters document");
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

/// Parameters name their account; templates have none.
std::string kindOf(const std::string &text)
{
    boost::system::error_code code;
    const auto value = json::parse(text, code);
    return !code && value.is_object() && value.get_object().contains("account") ? "parameters"
                                                                                : "template";
}

} // namespace

json::object normalize(const std::string &kind, const std::string &text)
{
    const auto document = kind == "parameters" ? toDocument(parseParameters(text))
                                               : toDocument(parseTemplate(text));
    return json::parse(document).as_object();
}

std::string documentTarget(const std::string &kind, const std::string &name)
{
    if (kind == "template")
        return "/v1/templates/" + encodePath(name);
    const auto slash = name.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == name.size())
        throw command_failure(exit_code::usage, "usage",
                              '"' + name + "\" is not the name of parameters",
                              "write ACCOUNT/TEMPLATE");
    return "/v1/accounts/" + encodePath(name.substr(0, slash)) + "/parameters/"
           + encodePath(name.substr(slash + 1));
}

document_file loadDocument(const std::string &path)
{
    document_file file;
    file.text = readFile(path);
    file.kind = kindOf(file.text);
    try {
        file.normalized = normalize(file.kind, file.text);
        if (file.kind == "template") {
            file.name = parseTemplate(file.text).name;
        } else {
            const auto value = parseParameters(file.text);
            file.name = value.account + '/' + value.templateName;
        }
    } catch (const error &e) {
        throw command_failure(exit_code::refused, toString(e.kind()), path + ": " + e.problem(),
                              e.remedy());
    }
    file.target = documentTarget(file.kind, file.name);
    return file;
}

} // namespace plantainpitch::ctl
