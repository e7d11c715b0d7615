#pragma once

#include <cstddef>
#include <cstdint>

namespace plantainpitch {

/// Number of waiting tasks of a candidate that may be placed now.
struct batch_choice
{
    std::size_t candidate = 0; ///< index in the list of candidates
    std::uint32_t maxTasks = 0;

    bool operator==(const batch_choice &) const = default;
};

} // namespace plantainpitch
