#include "plantainpitch/sched/job.h"

#include <algorithm>

namespace plantainpitch::sched {

job_state job::state() const
{
    switch (outcome) {
    case job_outcome::completed:
        return job_state::completed;
    case job_outcome::failed:
        return job_state::failed;
    case job_outcome::cancelled:
        return job_state::cancelled;
    case job_outcome::open:
        break;
    }
    return started ? job_state::running : job_state::queued;
}

bool job::unlocked(const occurrence &within, std::uint32_t step) const
{
    const auto &needed = stepSpec(step).dependsOn;
    return std::all_of(needed.begin(), needed.end(), [&within](std::uint32_t earlier) {
        const step_run &before = within.steps[earlier];
        return before.done == before.tasks.size();
    });
}

std::int64_t job::longestChainMs() const
{
    const auto &steps = request.spec->steps;
    std::vector<std::int64_t> chain(steps.size());
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        for (const std::uint32_t earlier : steps[i]->dependsOn)
            chain[i] = std::max(chain[i], chain[earlier]);
        chain[i] += steps[i]->estimateMs;
        longest = std::max(longest, chain[i]);
    }
    return longest;
}

double job::estimatedWork() const
{
    double work = 0;
    for (const auto &step : request.spec->steps) {
        const double cores = step->cpu / 1000.0 + 8.0 * step->accelerators;
        work += cores * step->count * step->estimateMs;
    }
    return work;
}

resources reservation(const step_spec &step)
{
    return { .cpu = step.fills ? 0 : static_cast<std::int64_t>(step.cpu),
             .memoryMb = step.memoryMb,
             .accelerators = step.accelerators };
}

allocation allocationFor(const step_spec &step, std::uint32_t run)
{
    return { .run = run,
             .amount = reservation(step),
             .fillingCpu = step.fills ? static_cast<std::int64_t>(step.cpu) : 0,
             .serves = step.targetMs > 0 };
}

} // namespace plantainpitch::sched
