#pragma once

#include "plantainpitch/sched/disturbance_model.h"
#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/placement_terms.h"
#include "plantainpitch/sched/worker.h"

#include <vector>

namespace plantainpitch::sched {

/// Returns the largest headroom loss that one task of the step causes to a serving image on \a
/// candidate.
double disturbance(const disturbance_model &model, const worker &candidate, const step_spec &step);

/// Chooses where a task runs.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Returns whether a task of the step may run beside the tasks on \a candidate, given enough
    /// free capacity. Must admit a task wherever it admits one of the same image that asks at least
    /// as much (see placement_request).
    [[nodiscard]] virtual bool admits(const worker &candidate, const step_spec &step,
                                      const placement_terms &terms) const = 0;

    /// Returns one of \a candidates, which all have free capacity and may run the step; nullptr if
    /// waiting is better. \a previous holds the worker of the task's last run, which may have
    /// failed.
    [[nodiscard]] virtual worker *choose(const std::vector<worker *> &candidates,
                                         const step_spec &step, const task &previous) const = 0;
};

/// Chooses the least loaded worker, preferably near the data, so that tasks disturb each other
/// least. Suits moderate load with free capacity on every VM.
class spread_placement : public placement_policy
{
public:
    [[nodiscard]] bool admits(const worker & /*candidate*/, const step_spec & /*step*/,
                              const placement_terms & /*terms*/) const override
    {
        return true;
    }
    [[nodiscard]] worker *choose(const std::vector<worker *> &candidates, const step_spec &step,
                                 const task &previous) const override;
};

/// Gives filling tasks only processors that are left over, and places them beside serving tasks
/// only where those are expected to stay within their targets, preferring images that hardly
/// disturb. A starved job is placed at any headroom, and the agent paces its task accordingly.
/// Serving tasks are packed onto as few VMs as their steps allow. Otherwise filling tasks could
/// occupy every VM, disturb serving tasks and be paced down everywhere, and both would be late.
class isolating_placement : public placement_policy
{
public:
    /// \a model must outlive this object.
    explicit isolating_placement(const disturbance_model &model)
        : m_model(model)
    {}

    [[nodiscard]] bool admits(const worker &candidate, const step_spec &step,
                              const placement_terms &terms) const override;
    [[nodiscard]] worker *choose(const std::vector<worker *> &candidates, const step_spec &step,
                                 const task &previous) const override;

private:
    [[nodiscard]] double expectedHeadroom(const worker &candidate, const step_spec &step) const;
    [[nodiscard]] double cost(const worker &candidate, const step_spec &step) const;

    const disturbance_model &m_model;
};

} // namespace plantainpitch::sched
