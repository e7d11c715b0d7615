#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/fleet_config.h"
#include "plantainpitch/sched/job.h"

namespace plantainpitch::sched {

/// What a waiting order knows of a job's queue.
struct queue_view
{
    const queue_config *config = nullptr;
    double meanWork = 0; ///< of a job, core-milliseconds; 0: not known yet
};

/// Decides which waiting job gets room first.
class waiting_order
{
public:
    virtual ~waiting_order() = default;

    /// Jobs with a smaller rank go first.
    [[nodiscard]] virtual double rank(const job &candidate, const queue_view &queue,
                                      instant now) const = 0;
};

/// Orders by priority, then by the end of the objective. For load that fits.
class deadline_order : public waiting_order
{
public:
    [[nodiscard]] double rank(const job &candidate, const queue_view &queue,
                              instant now) const override;
};

/// Orders by priority; then jobs that can still meet their objective before those that can only be
/// late and those that are too late for anyone; then by the work left for each unit of worth. For
/// bursts beyond the room: ordering by deadline would spend it on jobs that all end too late.
class worth_order : public waiting_order
{
public:
    [[nodiscard]] double rank(const job &candidate, const queue_view &queue,
                              instant now) const override;
};

} // namespace plantainpitch::sched
