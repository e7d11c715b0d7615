#pragma once

#include <cstddef>
#include <cstdint>

namespace plantainpitch {

/// How many waiting tasks of a candidate may be placed now.
struct batch_choice
{
    std::size_t candidate = 0; ///< index
    std::uint32_t maxTasks = 0;

    bool operator==(const batch_choice &) const = default;
};

} // namespace plantainpitch
