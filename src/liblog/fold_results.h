#pragma once

#include "plantainpitch/log/fold_result.h"

namespace plantainpitch::detail {

inline fold_result acceptedAt(log_position at, log_position current)
{
    return { .position = at, .accepted = true, .reason = {}, .current = current };
}

inline fold_result refusedAt(log_position at, const char *reason, log_position current = {})
{
    return { .position = at, .accepted = false, .reason = reason, .current = current };
}

} // namespace plantainpitch::detail
