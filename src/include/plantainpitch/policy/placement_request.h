#pragma once

#include "plantainpitch/model/resources.h"

#include <string>

namespace plantainpitch {

/// A task that needs a place.
struct placement_request
{
    std::string job;
    std::string templateName;
    resources needed;

    bool operator==(const placement_request &) const = default;
};

} // namespace plantainpitch
