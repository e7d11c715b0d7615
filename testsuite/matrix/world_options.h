#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/resources.h"

#include <cstdint>

namespace plantainpitch::matrix {

struct world_options
{
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    resources capacity = { .processorsMilli = 4000, .memoryBytes = 4'000'000'000 };
    double clockDriftRatio = 0.005; ///< clock rates lie within 1 plus or minus this
    duration linkDelay = std::chrono::milliseconds(3);
    std::size_t retainedBatches = 1'000'000;
};

} // namespace plantainpitch::matrix
