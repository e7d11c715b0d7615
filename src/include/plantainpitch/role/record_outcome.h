#pragma once

#include "plantainpitch/log/fold_result.h"

#include <cstdint>

namespace plantainpitch {

/// What became of a submit_record.
struct record_outcome
{
    std::uint64_t token = 0;
    /// False: the record was not taken for appending and never will be (the log is unavailable).
    bool taken = false;
    fold_result result; ///< valid if taken

    bool operator==(const record_outcome &) const = default;
};

} // namespace plantainpitch
