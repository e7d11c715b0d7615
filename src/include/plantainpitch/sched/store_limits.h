#pragma once

#include "plantainpitch/sched/stored_record.h"

#include <cstddef>

namespace plantainpitch::sched {

/// Sizes that the platform's store accepts, in bytes.
struct store_limits
{
    std::size_t recordBytes = 262'144; ///< of a record, with its key
    std::size_t callBytes = 2'097'152; ///< of all records of one append

    bool operator==(const store_limits &) const = default;
};

/// Bytes that the record takes in an append, with the fields for its length and its key's.
inline std::size_t storedBytes(const stored_record &record)
{
    constexpr std::size_t lengthFields = 5;
    return lengthFields + record.key.size() + record.value.size();
}

} // namespace plantainpitch::sched
