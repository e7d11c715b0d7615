#pragma once

#include "plantainpitch/model/log_position.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Part of the folded state of a stream. A reader without state starts from the newest complete
/// set of parts; a reader with state ignores them.
struct snapshot_part
{
    std::uint64_t through = 0; ///< offset of the last batch in the state
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::uint64_t digest = 0; ///< of the whole state
    std::string data; ///< at most 64 KB

    bool operator==(const snapshot_part &) const = default;
};

} // namespace plantainpitch
