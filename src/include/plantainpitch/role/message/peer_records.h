#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch {

/// Answer to a peer_pull. Only what the sender has read from the log.
struct peer_records
{
    std::string stream;
    bool hasSnapshot = false;
    std::uint64_t snapshotThrough = 0;
    std::string snapshot;
    std::vector<stored_batch> batches;

    bool operator==(const peer_records &) const = default;
};

} // namespace plantainpitch
