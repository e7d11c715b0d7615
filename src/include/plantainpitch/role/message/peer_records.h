#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <string>
#include <vector>

namespace plantainpitch {

/// Answer to a peer_pull. Contains only batches or state that the sender has read from the log.
struct peer_records
{
    std::string stream;
    bool hasSnapshot = false; ///< the batches contain only snapshot parts
    std::vector<stored_batch> batches;

    bool operator==(const peer_records &) const = default;
};

} // namespace plantainpitch
