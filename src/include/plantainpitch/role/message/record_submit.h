#pragma once

#include "plantainpitch/log/log_record.h"

#include <cstdint>

namespace plantainpitch {

/// Asks an entry to append a record to the stream of the cell.
struct record_submit
{
    std::uint64_t ticket = 0; ///< chosen by the agent; returned in record_settled
    log_record record;

    bool operator==(const record_submit &) const = default;
};

} // namespace plantainpitch
