#pragma once

#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/worker.h"

#include <vector>

namespace plantainpitch::sched {

/// Chooses where a task runs.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// One of \a candidates, which all have room and may run the step; nullptr if waiting is
    /// better. \a previous is the place of the task's last run, which may have failed.
    [[nodiscard]] virtual worker *choose(const std::vector<worker *> &candidates,
                                         const step_spec &step, const task &previous) const = 0;
};

/// Chooses the worker with the largest share of processors free, near the data if it can: tasks
/// then disturb each other least. For moderate load with room on every VM.
class spread_placement : public placement_policy
{
public:
    [[nodiscard]] worker *choose(const std::vector<worker *> &candidates, const step_spec &step,
                                 const task &previous) const override;
};

} // namespace plantainpitch::sched
