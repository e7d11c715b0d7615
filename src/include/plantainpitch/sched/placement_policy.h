#pragma once

#include "plantainpitch/sched/disturbance_model.h"
#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/worker.h"

#include <vector>

namespace plantainpitch::sched {

/// Headroom that the serving tasks on \a where lose at most by one task of the step beside them.
double disturbance(const disturbance_model &model, const worker &where, const step_spec &step);

/// Chooses where a task runs.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Whether a task of the step may run there beside what does, if it has room for it. \a
    /// starved: nothing of its job has run for a while.
    [[nodiscard]] virtual bool admits(const worker &candidate, const step_spec &step,
                                      bool starved) const = 0;

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
    [[nodiscard]] bool admits(const worker & /*candidate*/, const step_spec & /*step*/,
                              bool /*starved*/) const override
    {
        return true;
    }
    [[nodiscard]] worker *choose(const std::vector<worker *> &candidates, const step_spec &step,
                                 const task &previous) const override;
};

/// Gives tasks that fill no more processors than are left over, and puts them beside serving tasks
/// only where those are expected to stay within their targets; images that hardly disturb go there
/// first. A starved job gets a place at any headroom: the agent paces its task to what there is.
/// Serving tasks share as few VMs as their steps allow. Answers a load in which filling work would
/// use every VM: it disturbs serving tasks everywhere, is paced down everywhere, and neither is
/// done in time.
class isolating_placement : public placement_policy
{
public:
    /// \a model must outlive this object.
    explicit isolating_placement(const disturbance_model &model)
        : m_model(model)
    {}

    [[nodiscard]] bool admits(const worker &candidate, const step_spec &step,
                              bool starved) const override;
    [[nodiscard]] worker *choose(const std::vector<worker *> &candidates, const step_spec &step,
                                 const task &previous) const override;

private:
    [[nodiscard]] double headroomWith(const worker &where, const step_spec &step) const;
    [[nodiscard]] double cost(const worker &candidate, const step_spec &step) const;

    const disturbance_model &m_model;
};

} // namespace plantainpitch::sched
