#include "plantainpitch/runtime/host_port.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace plantainpitch::runtime {

std::optional<host_port> parseHostPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(host, failure);
    if (failure || address.is_v6() != bracketed)
        return std::nullopt;
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data() + colon + 1, end, port);
    if (status != std::errc() || rest != end || port == 0)
        return std::nullopt;
    return host_port{ .host = host, .port = port };
}

std::optional<std::vector<host_port>> parseHostPorts(const std::string &text)
{
    std::vector<host_port> result;
    if (text.empty())
        return result;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [](char c) { return c == ','; });
    for (const std::string &part : parts) {
        const auto element = parseHostPort(part);
        if (!element)
            return std::nullopt;
        result.push_back(*element);
    }
    return result;
}

} // namespace plantainpitch::runtime
