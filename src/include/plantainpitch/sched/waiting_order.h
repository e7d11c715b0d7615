#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/fleet_config.h"
#include "plantainpitch/sched/job.h"

namespace plantainpitch::sched {

/// Properties of a job's queue that a waiting order uses.
struct queue_view
{
    const queue_config *config = nullptr;
    double meanWork = 0; ///< of a job, in core-milliseconds; 0: unknown
};

/// Ranks waiting jobs for free capacity.
class waiting_order
{
public:
    virtual ~waiting_order() = default;

    /// Jobs with a smaller rank go first.
    [[nodiscard]] virtual double rank(const job &candidate, const queue_view &queue,
                                      instant now) const = 0;
};

/// Orders by priority, then by deadline. Suits load within the capacity.
class deadline_order : public waiting_order
{
public:
    [[nodiscard]] double rank(const job &candidate, const queue_view &queue,
                              instant now) const override;
};

/// Orders by priority, then by lateness (jobs that can still meet their objective, jobs that will
/// be late, jobs that are too late to be of use), then by remaining work per unit of worth. Suits
/// bursts beyond the capacity: ordering by deadline would spend it on jobs that all end too late.
class worth_order : public waiting_order
{
public:
    [[nodiscard]] double rank(const job &candidate, const queue_view &queue,
                              instant now) const override;
};

} // namespace plantainpitch::sched
