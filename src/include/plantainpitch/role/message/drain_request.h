#pragma once

#include <string>

namespace plantainpitch {

/// Asks an agent to stop admitting work, finish the running work and exit.
struct drain_request
{
    std::string reason;

    bool operator==(const drain_request &) const = default;
};

} // namespace plantainpitch
