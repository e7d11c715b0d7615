#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Adds to the counter plantain_<name>{reason="<label>"}.
struct count_metric
{
    std::string name; ///< e.g. "refusals_total"
    std::string label; ///< e.g. "queue_full"; may be empty
    std::uint64_t amount = 1;

    bool operator==(const count_metric &) const = default;
};

} // namespace plantainpitch
