#pragma once

#include "faults.h"
#include "steps.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// One cell of the matrix: a fault at a step, and possibly a second one while it lasts.
struct matrix_case
{
    std::size_t step = 0;
    std::size_t fault = 0;
    std::optional<std::size_t> secondFault;
    std::uint64_t seed = 1;

    [[nodiscard]] std::string name() const;
};

struct case_result
{
    bool struck = false; ///< the step was reached
    std::vector<std::string> violations;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t finishedTasks = 0;
    std::int64_t virtualMs = 0;
};

case_result runCase(const matrix_case &what);

/// A run with random faults at random times. \a faults strike within \a time.
case_result runRandom(std::uint64_t seed, duration time, std::size_t faults);

} // namespace plantainpitch::matrix
