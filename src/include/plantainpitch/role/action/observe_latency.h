#pragma once

#include "plantainpitch/model/instant.h"

#include <string>

namespace plantainpitch {

/// Adds a sample to the latency histogram plantain_<name>{service="<label>"}.
struct observe_latency
{
    std::string name;
    std::string label;
    duration value{};

    bool operator==(const observe_latency &) const = default;
};

} // namespace plantainpitch
