#pragma once

#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/placement_terms.h"

#include <cstdint>
#include <string>

namespace plantainpitch::sched {

/// What a step asks of the worker that runs one of its tasks.
struct placement_request
{
    std::string service;
    std::string requiredLabel;
    std::string image;
    bool fills = false;
    bool starved = false; ///< admitted at less headroom
    bool mayShareLeftOver = false;
    bool mayUseExcluded = false;
    bool mayUseReserved = false;
    std::int64_t cpu = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::uint32_t estimateMs = 0;

    bool operator==(const placement_request &) const = default;

    /// Whether each worker that suits this request suits \a other, too.
    [[nodiscard]] bool asksAtLeast(const placement_request &other) const
    {
        return service == other.service && requiredLabel == other.requiredLabel
               && image == other.image && fills == other.fills && starved <= other.starved
               && mayShareLeftOver <= other.mayShareLeftOver
               && mayUseExcluded <= other.mayUseExcluded && mayUseReserved <= other.mayUseReserved
               && cpu >= other.cpu && memoryMb >= other.memoryMb
               && accelerators >= other.accelerators && estimateMs >= other.estimateMs;
    }
};

inline placement_request requestOf(const step_spec &step, const std::string &service,
                                   const placement_terms &terms)
{
    return { .service = service,
             .requiredLabel = step.requiredLabel,
             .image = imageOf(step),
             .fills = step.fills,
             .starved = terms.starved,
             .mayShareLeftOver = terms.mayShareLeftOver,
             .mayUseExcluded = terms.mayUseExcluded,
             .mayUseReserved = terms.mayUseReserved,
             .cpu = step.cpu,
             .memoryMb = step.memoryMb,
             .accelerators = step.accelerators,
             .estimateMs = step.estimateMs };
}

} // namespace plantainpitch::sched
