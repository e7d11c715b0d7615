#pragma once

#include "plantainpitch/role/message/service_answer.h"
#include "plantainpitch/role/outcome_kind.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Final answer to a caller_request.
struct answer_caller
{
    std::uint64_t callerId = 0;
    outcome_kind outcome = outcome_kind::unknown;
    std::uint32_t status = 0; ///< HTTP status for the caller
    std::string reason; ///< not_run, unknown: snake case, e.g. "queue_full"
    std::string remedy; ///< not_run, unknown: what the caller can do
    std::string requestId;
    service_answer content; ///< answered

    bool operator==(const answer_caller &) const = default;
};

} // namespace plantainpitch
