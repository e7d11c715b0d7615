#pragma once

#include <iosfwd>

namespace plantainpitch {

/// Measures how many records a second the fold of a cell takes, what a task costs in memory, and
/// how long snapshots take, at several numbers of open tasks.
void runFoldBench(std::ostream &out);

} // namespace plantainpitch
