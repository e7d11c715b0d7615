#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch {

/// Answer to a read_call. Has one batch for each offset; for a blob that cannot be decoded, one
/// with no records and sequence 0.
struct read_answer
{
    std::uint64_t callId = 0;
    std::string stream;
    bool ok = false;
    std::uint64_t earliest = 0; ///< first offset that the log still keeps
    std::uint64_t next = 0; ///< offset of the next append
    std::vector<stored_batch> batches;

    bool operator==(const read_answer &) const = default;
};

} // namespace plantainpitch
