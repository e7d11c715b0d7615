#pragma once

#include "node.h"
#include "plantainpitch/role/action.h"

#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// A step of the system's work at which a fault may strike.
struct step
{
    std::string name;
    bool (*matches)(const node &, const action &);
    bool atStart = false; ///< taken while the world starts, so the fault strikes there
};

/// Every step of the fault matrix.
const std::vector<step> &allSteps();

} // namespace plantainpitch::matrix
