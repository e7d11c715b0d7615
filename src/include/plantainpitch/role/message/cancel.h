#pragma once

#include "plantainpitch/model/request_id.h"

#include <cstdint>

namespace plantainpitch {

/// Cancels a dispatch if it has not started, and prevents a later start. An agent that has not
/// received the dispatch yet remembers the cancellation and refuses the dispatch when it arrives.
struct cancel
{
    request_id id;
    std::uint32_t attempt = 1;

    bool operator==(const cancel &) const = default;
};

} // namespace plantainpitch
