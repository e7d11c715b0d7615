#pragma once

#include "plantainpitch/log/record_batch.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// A batch as read from the log.
struct stored_batch
{
    std::uint64_t offset = 0;
    record_batch batch;

    bool operator==(const stored_batch &) const = default;
};

} // namespace plantainpitch
