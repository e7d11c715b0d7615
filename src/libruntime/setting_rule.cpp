#include "plantainpitch/runtime/setting_rule.h"

#include "plantainpitch/runtime/host_port.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace plantainpitch::runtime {

setting_rule anyValue()
{
    return { .accepts = [](const std::string &) { return true; }, .description = "any value" };
}

setting_rule notEmpty(const std::string &example)
{
    return { .accepts = [](const std::string &value) { return !value.empty(); },
             .description = "a value, for example " + example };
}

setting_rule numberBetween(std::int64_t smallest, std::int64_t largest)
{
    const auto accepts = [smallest, largest](const std::string &value) {
        std::int64_t number = 0;
        const char *end = value.data() + value.size();
        const auto [rest, status] = std::from_chars(value.data(), end, number);
        return status == std::errc() && rest == end && number >= smallest && number <= largest;
    };
    return { .accepts = accepts,
             .description = "a whole number from " + std::to_string(smallest) + " to "
                            + std::to_string(largest) };
}

setting_rule portNumber()
{
    return numberBetween(0, 65535);
}

setting_rule ipAddress()
{
    const auto accepts = [](const std::string &value) {
        boost::system::error_code failure;
        boost::asio::ip::make_address(value, failure);
        return !failure;
    };
    return { .accepts = accepts, .description = "an IP address, for example 10.0.0.5" };
}

setting_rule addressList(bool mayBeEmpty)
{
    const auto accepts = [mayBeEmpty](const std::string &value) {
        const auto list = parseHostPorts(value);
        return list && (mayBeEmpty || !list->empty());
    };
    return { .accepts = accepts,
             .description = "a list of address:port, for example 10.0.0.5:7000,10.0.0.6:7000" };
}

setting_rule oneOf(std::vector<std::string> values)
{
    const std::string description = "one of " + boost::algorithm::join(values, ", ");
    const auto accepts = [values = std::move(values)](const std::string &value) {
        return std::find(values.begin(), values.end(), value) != values.end();
    };
    return { .accepts = accepts, .description = description };
}

} // namespace plantainpitch::runtime
