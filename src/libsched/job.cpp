#include "plantainpitch/sched/job.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// A job that ends within this multiple of its objective still has some worth.
constexpr std::int64_t maxLatenessFactor = 3;
/// Average share of the work that an active task still has to do.
constexpr double activeTaskRemainingShare = 0.5;

/// Estimated work of one task in core-milliseconds; an accelerator counts as eight cores.
double taskWork(const step_spec &step)
{
    return (step.cpu / 1000.0 + 8.0 * step.accelerators) * step.estimateMs;
}

} // namespace

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

bool job::dependenciesDone(const occurrence &occurrence, std::uint32_t step) const
{
    const auto &prerequisites = stepSpec(step).dependsOn;
    return std::all_of(prerequisites.begin(), prerequisites.end(),
                       [&occurrence](std::uint32_t prerequisite) {
                           const step_run &prerequisiteRun = occurrence.steps[prerequisite];
                           return prerequisiteRun.done == prerequisiteRun.tasks.size();
                       });
}

bool job::isLongRunning() const
{
    const auto &steps = request.spec->steps;
    return std::any_of(steps.begin(), steps.end(),
                       [](const auto &step) { return step->longRunning; });
}

bool job::hasStartableTask() const
{
    return std::any_of(occurrences.begin(), occurrences.end(), [this](const occurrence &each) {
        for (std::uint32_t step = 0; step < each.steps.size(); ++step) {
            if (each.steps[step].waiting > 0 && dependenciesDone(each, step))
                return true;
        }
        return false;
    });
}

bool job::isActive() const
{
    return std::any_of(occurrences.begin(), occurrences.end(), [](const occurrence &each) {
        return std::any_of(each.steps.begin(), each.steps.end(),
                           [](const step_run &step) { return step.active > 0; });
    });
}

instant job::lastUsefulEnd() const
{
    return received + maxLatenessFactor * (objective - received);
}

std::int64_t job::longestChainMs() const
{
    const auto &steps = request.spec->steps;
    std::vector<std::int64_t> chain(steps.size());
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        for (const std::uint32_t prerequisite : steps[i]->dependsOn)
            chain[i] = std::max(chain[i], chain[prerequisite]);
        chain[i] += steps[i]->estimateMs;
        longest = std::max(longest, chain[i]);
    }
    return longest;
}

double job::estimatedWork() const
{
    double work = 0;
    for (const auto &step : request.spec->steps)
        work += step->count * taskWork(*step);
    return work;
}

double job::remainingWork() const
{
    double work = 0;
    for (const occurrence &occurrence : occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const step_run &stepRun = occurrence.steps[step];
            work += (stepRun.waiting + activeTaskRemainingShare * stepRun.active)
                    * taskWork(stepSpec(step));
        }
    }
    return work;
}

std::int64_t job::remainingChainMs() const
{
    std::int64_t longest = 0;
    for (const occurrence &occurrence : occurrences) {
        std::vector<std::int64_t> chain(occurrence.steps.size());
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (const std::uint32_t prerequisite : stepSpec(step).dependsOn)
                chain[step] = std::max(chain[step], chain[prerequisite]);
            if (occurrence.steps[step].done < occurrence.steps[step].tasks.size())
                chain[step] += stepSpec(step).estimateMs;
            longest = std::max(longest, chain[step]);
        }
    }
    return longest;
}

resources reservation(const step_spec &step)
{
    return { .cpu = step.fills ? 0 : static_cast<std::int64_t>(step.cpu),
             .memoryMb = step.memoryMb,
             .accelerators = step.accelerators };
}

resources reservation(const start_order &order)
{
    return { .cpu = order.cpu, .memoryMb = order.memoryMb, .accelerators = order.accelerators };
}

resources capacityOf(const worker_info &info)
{
    return { .cpu = info.cpu, .memoryMb = info.memoryMb, .accelerators = info.accelerators };
}

void setReservation(start_order &order, const step_spec &step)
{
    const resources reserved = reservation(step);
    order.cpu = static_cast<std::uint32_t>(reserved.cpu);
    order.memoryMb = static_cast<std::uint32_t>(reserved.memoryMb);
    order.accelerators = static_cast<std::uint32_t>(reserved.accelerators);
}

std::string imageOf(const step_spec &step)
{
    return step.image.empty() ? "unnamed" : step.image;
}

allocation allocationFor(const step_spec &step, std::uint32_t run)
{
    return { .run = run,
             .reserved = reservation(step),
             .fillingCpu = step.fills ? static_cast<std::int64_t>(step.cpu) : 0,
             .serves = step.targetMs > 0,
             .longRunning = step.longRunning,
             .image = imageOf(step) };
}

} // namespace plantainpitch::sched
