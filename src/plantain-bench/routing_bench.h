#pragma once

namespace plantainpitch {

class bench_report;

/// Compares the request policies with their baselines on a queueing model with fixed seeds, and
/// measures the cost of a routing decision. Adds one row per measure.
void runRoutingBench(bench_report &report);

} // namespace plantainpitch
