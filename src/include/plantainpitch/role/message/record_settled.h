#pragma once

#include "plantainpitch/model/log_position.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// What became of a record_submit. Not sent while that is unknown.
struct record_settled
{
    std::uint64_t ticket = 0;
    /// For an accepted claim the attempt, otherwise the position of the record. None: the entry
    /// did not append the record and will not.
    log_position position;
    bool accepted = false;
    std::string reason; ///< empty if accepted

    bool operator==(const record_settled &) const = default;
};

} // namespace plantainpitch
