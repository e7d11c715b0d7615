#pragma once

#include "plantainpitch/log/log_record.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// The records of one append. A batch with a known (producer, sequence) is ignored by the folds.
struct record_batch
{
    std::uint64_t producer = 0; ///< incarnation of the process that appended
    std::uint64_t sequence = 0; ///< counts from 1 per producer and stream
    std::vector<log_record> records;

    bool operator==(const record_batch &) const = default;
};

} // namespace plantainpitch
