#pragma once

#include <iosfwd>

namespace plantainpitch {

/// Compares the request policies with their baselines on a queueing model with fixed seeds, and
/// measures the cost of a routing decision. Prints one line per measure.
void runRoutingBench(std::ostream &out);

} // namespace plantainpitch
