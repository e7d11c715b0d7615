#pragma once

#include "plantainpitch/model/resources.h"

#include <string>

namespace plantainpitch {

/// A task to be placed.
struct placement_request
{
    std::string job;
    std::string templateName;
    resources needed;

    bool operator==(const placement_request &) const = default;
};

} // namespace plantainpitch
