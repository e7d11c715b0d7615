#pragma once

#include "plantainpitch/model/log_position.h"

#include <string>

namespace plantainpitch {

/// What folding a record did.
struct fold_result
{
    log_position position;
    bool accepted = false;
    std::string reason; ///< empty if accepted; otherwise e.g. "base is not the last change"
    log_position current; ///< last change or current revision of the entity after folding

    bool operator==(const fold_result &) const = default;
};

} // namespace plantainpitch
