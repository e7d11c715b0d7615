#pragma once

#include <iosfwd>

namespace plantainpitch {

/// Compares placement and throttling of batch tasks beside services with first fit and
/// evict-on-violation, in a model with virtual time and fixed seeds, for both weightings. Prints
/// one line per measure: the median of five seeds.
void runColocationBench(std::ostream &out);

} // namespace plantainpitch
