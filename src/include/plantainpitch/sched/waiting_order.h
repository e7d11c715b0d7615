#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/fleet_config.h"
#include "plantainpitch/sched/job.h"

namespace plantainpitch::sched {

/// Decides which waiting job gets room first.
class waiting_order
{
public:
    virtual ~waiting_order() = default;

    /// Jobs with a smaller rank go first.
    [[nodiscard]] virtual double rank(const job &candidate, const queue_config &queue,
                                      instant now) const = 0;
};

/// Orders by priority, then by the end of the objective. For load that fits.
class deadline_order : public waiting_order
{
public:
    [[nodiscard]] double rank(const job &candidate, const queue_config &queue,
                              instant now) const override;
};

} // namespace plantainpitch::sched
