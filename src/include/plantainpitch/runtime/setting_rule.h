#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace plantainpitch::runtime {

/// Which values of a setting are accepted.
struct setting_rule
{
    std::function<bool(const std::string &value)> accepts;
    std::string description; ///< completes the remedy "give ...", e.g. "an IP address"
};

setting_rule anyValue();
setting_rule notEmpty(const std::string &example);
setting_rule numberBetween(std::int64_t smallest, std::int64_t largest);
/// A port; 0 lets the system choose.
setting_rule portNumber();
setting_rule ipAddress();
/// Comma-separated list of address:port; \a mayBeEmpty also accepts no element.
setting_rule addressList(bool mayBeEmpty);
setting_rule oneOf(std::vector<std::string> values);

} // namespace plantainpitch::runtime
