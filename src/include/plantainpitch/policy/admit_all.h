#pragma once

#include "plantainpitch/policy/admission_policy.h"

namespace plantainpitch {

/// Baseline: admits every request whose deadline has not passed, whatever the load.
class admit_all final : public admission_policy
{
public:
    [[nodiscard]] bool canFinish(const admission_load & /*load*/, duration timeLeft) const override
    {
        return timeLeft > duration::zero();
    }
    void onServiceTime(duration /*value*/) override {}
};

} // namespace plantainpitch
