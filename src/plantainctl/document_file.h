#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace plantainpitch::ctl {

/// A template or parameters document, checked by the rules that the entries apply.
struct document_file
{
    std::string kind; ///< "template" or "parameters"
    std::string name; ///< template name, or account/template
    std::string target; ///< its path in the administration API
    std::string text; ///< as it stands in the file
    boost::json::object normalized; ///< with all defaults
};

/// Throws command_failure if the file cannot be read or is not a valid document.
document_file loadDocument(const std::string &path);

/// The document with all defaults; kind as in document_file.
boost::json::object normalize(const std::string &kind, const std::string &text);

/// Path in the administration API of "template NAME" or "parameters ACCOUNT/TEMPLATE".
std::string documentTarget(const std::string &kind, const std::string &name);

} // namespace plantainpitch::ctl
