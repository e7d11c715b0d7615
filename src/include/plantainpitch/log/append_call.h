#pragma once

#include "plantainpitch/log/record_batch.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Call to the platform's log that the shell has to make.
struct append_call
{
    std::uint64_t callId = 0;
    std::string stream;
    record_batch batch;

    bool operator==(const append_call &) const = default;
};

} // namespace plantainpitch
