#pragma once

#include "plantainpitch/log/record/config_change.h"
#include "plantainpitch/model/log_position.h"

#include <string>

namespace plantainpitch {

/// Current value of a template or of an account's parameters.
struct config_entity
{
    config_kind kind = config_kind::work_template;
    std::string name;
    log_position revision;
    std::string document;
    bool removed = false; ///< kept so that a removal also spreads

    bool operator==(const config_entity &) const = default;
};

} // namespace plantainpitch
