#pragma once

#include "plantainpitch/log/log_record.h"

#include <cstdint>

namespace plantainpitch {

/// Asks the control shard of an entry to append a record to the stream of the cell. The result is
/// reported to the submitter as a record_outcome with the same token.
struct submit_record
{
    std::uint64_t token = 0;
    log_record record;

    bool operator==(const submit_record &) const = default;
};

} // namespace plantainpitch
