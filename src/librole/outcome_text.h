#pragma once

#include "plantainpitch/role/outcome_kind.h"

#include <cstdint>
#include <string_view>

namespace plantainpitch::detail {

struct outcome_text
{
    std::uint32_t status = 0; ///< HTTP status for the caller
    std::string_view remedy;
};

/// Returns status and remedy for an outcome other than answered; see docs/design.md, section 6.
outcome_text outcomeText(outcome_kind kind, std::string_view reason);

} // namespace plantainpitch::detail
