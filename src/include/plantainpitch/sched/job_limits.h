#pragma once

#include "plantainpitch/sched/messages.h"

#include <cstdint>

namespace plantainpitch::sched {

// Above the largest jobs of the platform; jobs without limits could exhaust the owner's memory.
inline constexpr std::uint32_t maxTasksPerStep = 20'000;
inline constexpr std::uint64_t maxTasksPerOccurrence = 200'000;
/// Tasks and steps of all occurrences of a job that are due.
inline constexpr std::uint64_t maxTasksPerJob = 500'000;

/// Throws error(invalid_document) if the scheduler cannot run such a job: a step has too many tasks
/// or none, depends on a step that is not an earlier one, or the schedule is out of range.
void checkJob(const job_spec &spec);

} // namespace plantainpitch::sched
