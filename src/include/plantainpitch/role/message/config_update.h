#pragma once

#include "plantainpitch/log/config_entity.h"
#include "plantainpitch/model/log_position.h"

#include <vector>

namespace plantainpitch {

/// Changed configuration, in revision order.
struct config_update
{
    log_position revision; ///< revision of the sender after these entities
    std::vector<config_entity> entities;

    bool operator==(const config_update &) const = default;
};

} // namespace plantainpitch
