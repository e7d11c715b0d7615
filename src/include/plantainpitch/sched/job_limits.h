#pragma once

#include "plantainpitch/sched/messages.h"

#include <cstdint>

namespace plantainpitch::sched {

// Above the largest jobs of the platform; jobs without limits could exhaust the owner's memory.
inline constexpr std::uint32_t maxTasksPerStep = 20'000;
inline constexpr std::uint64_t maxTasksPerOccurrence = 200'000;
/// Tasks and steps of all occurrences of a job that are due.
inline constexpr std::uint64_t maxTasksPerJob = 500'000;

/// Tasks in one progress record, which is far shorter than the 256 KiB that the store usually
/// accepts. Tasks stay in their record, so another value would need a conversion of stored jobs.
inline constexpr std::uint32_t tasksPerProgressRecord = 128;
inline constexpr std::uint32_t maxProgressRecords = maxTasksPerJob / tasksPerProgressRecord + 1;
/// Length of the longest checkpoint that fits into a progress record of \a recordBytes. Longer ones
/// are not kept: the task then starts from the beginning after a loss.
constexpr std::size_t maxCheckpointBytes(std::size_t recordBytes)
{
    constexpr std::size_t otherFields = 400;
    const std::size_t perTask = recordBytes / tasksPerProgressRecord;
    return perTask > otherFields ? perTask - otherFields : 0;
}

/// Throws error(invalid_document) if the scheduler cannot run such a job: a step has too many tasks
/// or none, depends on a step that is not an earlier one, or the schedule is out of range.
void checkJob(const job_spec &spec);

} // namespace plantainpitch::sched
