#pragma once

#include "plantainpitch/model/log_position.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Final result of a record_submit. Not sent while the result is unknown.
struct record_settled
{
    std::uint64_t ticket = 0;
    /// The attempt for an accepted claim, otherwise the position of the record. None: the entry
    /// did not append the record and never will.
    log_position position;
    bool accepted = false;
    std::string reason; ///< empty if accepted

    bool operator==(const record_settled &) const = default;
};

} // namespace plantainpitch
