#pragma once

#include "plantainpitch/log/log_record.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// The records of one append. A batch with a known (producer, sequence) is ignored by the folds.
struct record_batch
{
    std::uint64_t producer = 0; ///< incarnation of the process that appended
    /// End of the stream as the producer knew it when it formed the batch, plus 1. Grows with each
    /// batch of a producer, because a batch is formed only after the one before was read back.
    std::uint64_t sequence = 0;
    std::vector<log_record> records;

    bool operator==(const record_batch &) const = default;
};

} // namespace plantainpitch
