#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/role/message/unlisted_claim.h"
#include "plantainpitch/role/message/withdrawn_task.h"

#include <cstdint>
#include <vector>

namespace plantainpitch {

/// Answer to an authority_request: confirms every held task that is not listed in withdrawn.
struct authority_grant
{
    std::uint64_t nonce = 0;
    std::uint64_t nextOffset = 0; ///< the log was read up to here
    std::vector<withdrawn_task> withdrawn;
    /// Claims of this VM that are in the log but not in the request.
    std::vector<unlisted_claim> unlisted;

    bool operator==(const authority_grant &) const = default;
};

} // namespace plantainpitch
