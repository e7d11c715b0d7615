#pragma once

namespace plantainpitch {

class bench_report;

/// Measures how many records a second the fold of a cell takes, what a task costs in memory, and
/// how long snapshots take, at several numbers of open tasks. Adds the rates as rows.
void runFoldBench(bench_report &report);

} // namespace plantainpitch
