#pragma once

#include <string>

namespace plantainpitch::sched {

/// Newest value of a key in the platform's store; an empty value removes the key.
struct stored_record
{
    std::string key;
    std::string value;

    bool operator==(const stored_record &) const = default;
};

} // namespace plantainpitch::sched
