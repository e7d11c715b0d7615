#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace plantainpitch::detail {

/// Parses a document; throws error(invalid_document) if it is too large, not JSON or no object.
boost::json::object parseObject(std::string_view document);

/// Throws error(invalid_document) for the field at \a path.
[[noreturn]] void throwFault(const std::string &path, const std::string &fault,
                             const std::string &remedy);

/// Reads the fields of one JSON object and refuses what it does not know. All functions throw
/// error(invalid_document) that names the path of the field.
class object_reader
{
public:
    /// \a path is the path of the object, empty for the document itself.
    object_reader(const boost::json::object &object, std::string path)
        : m_object(object)
        , m_path(std::move(path))
    {}

    /// Null if the field is absent.
    const boost::json::value *find(std::string_view field);
    const boost::json::value &require(std::string_view field);

    std::int64_t integer(std::string_view field, std::int64_t absent, std::int64_t min,
                         std::int64_t max);
    std::uint32_t count(std::string_view field, std::uint32_t absent, std::uint32_t min,
                        std::uint32_t max);
    std::string text(std::string_view field, const std::string &absent, std::size_t maxBytes);
    /// A required identifier: letters, digits, '.', '_' and '-', at most 128 characters.
    std::string identifier(std::string_view field);
    /// Checks that "version" is 1.
    void version();
    /// Refuses fields that were not asked for.
    void finish() const;

    [[nodiscard]] std::string pathOf(std::string_view field) const;

private:
    const boost::json::object &m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
};

/// Text of a JSON value; throws unless it is a string of at most \a maxBytes.
std::string textOf(const boost::json::value &value, const std::string &path, std::size_t maxBytes);

} // namespace plantainpitch::detail
