#pragma once

#include "workload.h"
#include "world.h"

#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// A fault that strikes the process that takes a step, or a part that it depends on.
struct fault
{
    std::string name;
    void (*strike)(world &, workload &, node &);
};

/// Every fault of the fault matrix.
const std::vector<fault> &allFaults();

} // namespace plantainpitch::matrix
