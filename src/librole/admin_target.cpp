#include "admin_target.h"

#include "plantainpitch/model/error.h"

#include <cctype>
#include <string_view>

namespace plantainpitch::detail {

namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const int lower = std::tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        const int high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
        const int low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
        if (high < 0 || low < 0)
            throw error(error_kind::invalid_argument, "malformed percent encoding in the path",
                        "write a percent sign as %25");
        result += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return result;
}

std::map<std::string, std::string> parseQuery(std::string_view query)
{
    std::map<std::string, std::string> result;
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        const std::string_view value =
                equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        result[percentDecode(item.substr(0, equals))] = percentDecode(value);
    }
    return result;
}

} // namespace

admin_target parseAdminTarget(const std::string &target)
{
    admin_target result;
    std::string_view path = target;
    const std::size_t mark = path.find('?');
    if (mark != std::string_view::npos) {
        result.query = parseQuery(path.substr(mark + 1));
        path = path.substr(0, mark);
    }
    while (!path.empty()) {
        const std::string_view segment = path.substr(0, path.find('/'));
        path.remove_prefix(std::min(path.size(), segment.size() + 1));
        if (!segment.empty())
            result.segments.push_back(percentDecode(segment));
    }
    return result;
}

} // namespace plantainpitch::detail
