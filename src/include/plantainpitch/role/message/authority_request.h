#pragma once

#include "plantainpitch/role/message/held_task.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch {

/// Asks an entry to confirm claims by a log read that starts after the entry received this message.
struct authority_request
{
    std::uint64_t nonce = 0;
    std::string vm;
    std::vector<held_task> held;

    bool operator==(const authority_request &) const = default;
};

} // namespace plantainpitch
