#pragma once

#include "plantainpitch/model/log_position.h"

#include <string>

namespace plantainpitch {

enum class config_kind { work_template, parameters };

/// Publishes, replaces or removes a configuration entity. Accepted only if baseRevision is the
/// entity's current revision.
struct config_change
{
    config_kind kind = config_kind::work_template;
    std::string name; ///< template name, or "account/template" for parameters
    log_position baseRevision; ///< none: the entity must not exist
    std::string document;
    bool removed = false;

    bool operator==(const config_change &) const = default;
};

} // namespace plantainpitch
