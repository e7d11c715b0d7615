#pragma once

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <string>

namespace plantainpitch {

struct proposal_refused
{
    task_id task;
    log_position base;
    std::string reason; ///< e.g. "no_room", "draining", "held"

    bool operator==(const proposal_refused &) const = default;
};

} // namespace plantainpitch
