#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// A batch to fold, with the tickets of its records if this process submitted them.
struct read_batch
{
    stored_batch stored;
    std::vector<std::uint64_t> tickets; ///< one per record, or empty

    bool operator==(const read_batch &) const = default;
};

} // namespace plantainpitch
