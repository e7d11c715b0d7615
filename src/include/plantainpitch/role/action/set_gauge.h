#pragma once

#include <string>

namespace plantainpitch {

/// Sets the gauge plantain_<name>.
struct set_gauge
{
    std::string name; ///< e.g. "long_running_waiting"
    double value = 0;

    bool operator==(const set_gauge &) const = default;
};

} // namespace plantainpitch
