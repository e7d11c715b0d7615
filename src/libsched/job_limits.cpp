#include "plantainpitch/sched/job_limits.h"

#include "plantainpitch/model/error.h"

#include <algorithm>
#include <limits>
#include <string>

namespace plantainpitch::sched {

namespace {

[[noreturn]] void reject(const std::string &problem, const std::string &remedy)
{
    throw error(error_kind::invalid_document, problem, remedy);
}

void checkSchedule(const job_spec &spec)
{
    constexpr std::int64_t latest = std::numeric_limits<std::int64_t>::max();
    const std::int64_t occurrences = std::max<std::int64_t>(1, spec.occurrences);
    const bool valid = spec.firstRunMs >= 0 && spec.intervalMs >= 0
                       && spec.intervalMs <= (latest - spec.firstRunMs) / occurrences;
    if (!valid)
        reject("the times of the job's occurrences are out of range",
               "give a first run and an interval that are not negative, and fewer occurrences");
}

} // namespace

void checkJob(const job_spec &spec)
{
    if (spec.steps.empty())
        reject("the job has no steps", "give at least one step");
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const step_spec &step = *spec.steps[i];
        if (step.count == 0 || step.count > maxTasksPerStep)
            reject("a step has " + std::to_string(step.count) + " tasks",
                   "give a count from 1 to " + std::to_string(maxTasksPerStep));
        tasks += step.count;
        const bool inOrder = std::all_of(step.dependsOn.begin(), step.dependsOn.end(),
                                         [i](std::uint32_t earlier) { return earlier < i; });
        if (!inOrder)
            reject("a step has a dependency that is not the index of an earlier step",
                   "name only earlier steps, counting from 0");
    }
    if (tasks > maxTasksPerOccurrence)
        reject("the job has " + std::to_string(tasks) + " tasks",
               "give at most " + std::to_string(maxTasksPerOccurrence));
    checkSchedule(spec);
}

} // namespace plantainpitch::sched
