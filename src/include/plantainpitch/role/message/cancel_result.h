#pragma once

#include "plantainpitch/model/request_id.h"

#include <cstdint>

namespace plantainpitch {

enum class cancel_outcome {
    not_started, ///< did not start and never will
    running, ///< started; its answer follows
    answered, ///< has finished; its answer is sent again
    unknown, ///< the agent no longer has a record of this dispatch
};

struct cancel_result
{
    request_id id;
    std::uint32_t attempt = 1;
    cancel_outcome outcome = cancel_outcome::unknown;

    bool operator==(const cancel_result &) const = default;
};

} // namespace plantainpitch
