#pragma once

namespace plantainpitch {

class bench_report;

/// Compares placement and throttling of batch tasks beside services with first fit and
/// evict-on-violation, in a model with virtual time and fixed seeds, for both weightings. Adds
/// one row per measure: the median of five seeds.
void runColocationBench(bench_report &report);

} // namespace plantainpitch
