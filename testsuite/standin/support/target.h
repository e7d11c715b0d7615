#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainpitch::standin {

/// The parts of a request's target, percent-decoded.
struct target
{
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;

    explicit target(const std::string &text);

    /// Numeric query value; \a fallback if it is absent or no number.
    [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
};

} // namespace plantainpitch::standin
