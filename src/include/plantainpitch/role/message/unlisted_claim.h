#pragma once

#include "plantainpitch/role/message/held_task.h"

#include <cstdint>

namespace plantainpitch {

/// A claim of a VM that its agent did not list, e.g. a claim of an earlier agent process.
struct unlisted_claim
{
    held_task claim;
    std::int64_t authorityTermMs = 0; ///< of the task's job; 0: unknown

    bool operator==(const unlisted_claim &) const = default;
};

} // namespace plantainpitch
