#pragma once

#include <string>

namespace plantainpitch {

/// Requests of this method whose path starts with the prefix may be repeated without effect.
struct idempotent_path
{
    std::string method;
    std::string prefix;

    bool operator==(const idempotent_path &) const = default;
};

} // namespace plantainpitch
