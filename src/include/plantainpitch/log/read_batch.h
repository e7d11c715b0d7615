#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// A batch to fold, with the tickets of its records if this process submitted them. If the fold
/// returns no results for a batch with tickets, an earlier copy lies in the part of the stream that
/// was skipped with a snapshot, and what became of the records has to be read from the state.
struct read_batch
{
    stored_batch stored;
    std::vector<std::uint64_t> tickets; ///< one per record, or empty

    bool operator==(const read_batch &) const = default;
};

} // namespace plantainpitch
