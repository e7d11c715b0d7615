#include "object_reader.h"

#include "plantainpitch/model/error.h"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace plantainpitch::detail {

namespace {

/// A change must fit into one append together with others (256 KB).
constexpr std::size_t maxDocumentBytes = std::size_t(64) * 1024;

constexpr std::size_t maxIdentifierBytes = 128;

bool isIdentifierCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-';
}

} // namespace

void throwFault(const std::string &path, const std::string &fault, const std::string &remedy)
{
    throw error(error_kind::invalid_document, path + ' ' + fault, remedy);
}

boost::json::object parseObject(std::string_view document)
{
    if (document.size() > maxDocumentBytes)
        throwFault("document", "is larger than 64 KB", "shorten the document");
    boost::json::error_code failure;
    boost::json::value value = boost::json::parse({ document.data(), document.size() }, failure);
    if (failure)
        throwFault("document", "is not JSON: " + failure.message(), "correct the syntax");
    if (!value.is_object())
        throwFault("document", "is not a JSON object", "put the fields into braces");
    return std::move(value.get_object());
}

std::string textOf(const boost::json::value &value, const std::string &path, std::size_t maxBytes)
{
    if (!value.is_string())
        throwFault(path, "must be a string", "put the value in quotes");
    const boost::json::string &text = value.get_string();
    if (text.size() > maxBytes) {
        throwFault(path, "is longer than " + std::to_string(maxBytes) + " bytes",
                   "shorten the value");
    }
    return { text.data(), text.size() };
}

const boost::json::value *object_reader::find(std::string_view field)
{
    m_known.emplace(field);
    return m_object.if_contains({ field.data(), field.size() });
}

const boost::json::value &object_reader::require(std::string_view field)
{
    const boost::json::value *value = find(field);
    if (value == nullptr)
        throwFault(pathOf(field), "is missing", "add the field");
    return *value;
}

std::int64_t object_reader::integer(std::string_view field, std::int64_t absent, std::int64_t min,
                                    std::int64_t max)
{
    const boost::json::value *value = find(field);
    if (value == nullptr)
        return absent;
    if (!value->is_int64() || value->get_int64() < min || value->get_int64() > max) {
        throwFault(pathOf(field),
                   "must be a whole number from " + std::to_string(min) + " to "
                           + std::to_string(max),
                   "correct the value or leave the field out for the default of "
                           + std::to_string(absent));
    }
    return value->get_int64();
}

std::uint32_t object_reader::count(std::string_view field, std::uint32_t absent, std::uint32_t min,
                                   std::uint32_t max)
{
    return static_cast<std::uint32_t>(integer(field, absent, min, max));
}

std::string object_reader::text(std::string_view field, const std::string &absent,
                                std::size_t maxBytes)
{
    const boost::json::value *value = find(field);
    return value == nullptr ? absent : textOf(*value, pathOf(field), maxBytes);
}

std::string object_reader::identifier(std::string_view field)
{
    std::string name = textOf(require(field), pathOf(field), maxIdentifierBytes);
    if (name.empty() || !std::all_of(name.begin(), name.end(), isIdentifierCharacter)) {
        throwFault(pathOf(field), "is not a valid name",
                   "use letters, digits, '.', '_' and '-' only");
    }
    return name;
}

void object_reader::version()
{
    const boost::json::value &value = require("version");
    if (!value.is_int64() || value.get_int64() != 1)
        throwFault(pathOf("version"), "must be 1", "write the document in version 1");
}

void object_reader::finish() const
{
    for (const auto &member : m_object) {
        const std::string_view field(member.key().data(), member.key().size());
        if (!m_known.contains(field))
            throwFault(pathOf(field), "is not a known field", "remove it or correct its name");
    }
}

std::string object_reader::pathOf(std::string_view field) const
{
    return m_path.empty() ? std::string(field) : m_path + '.' + std::string(field);
}

} // namespace plantainpitch::detail
