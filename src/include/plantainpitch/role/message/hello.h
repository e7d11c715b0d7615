#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

enum class process_kind { entry, agent };

/// First message in both directions on a connection between processes.
struct hello
{
    std::uint32_t protocolVersion = 1;
    process_kind kind = process_kind::agent;
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< random, new for each process start

    bool operator==(const hello &) const = default;
};

} // namespace plantainpitch
