#pragma once

#include "plantainpitch/log/fold_result.h"

#include <cstdint>

namespace plantainpitch {

/// Final result of a submit_record.
struct record_outcome
{
    std::uint64_t token = 0;
    /// False: the record was not appended and never will be, because the log is unavailable.
    bool appended = false;
    fold_result result; ///< valid if taken

    bool operator==(const record_outcome &) const = default;
};

} // namespace plantainpitch
