#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <utility>

namespace plantainpitch::test {

/// A batch whose producer knew the whole stream before it.
inline stored_batch batchAt(std::uint64_t offset, std::vector<log_record> records = {},
                            std::uint64_t producer = 1)
{
    return { offset, { producer, offset + 1, std::move(records) } };
}

} // namespace plantainpitch::test
