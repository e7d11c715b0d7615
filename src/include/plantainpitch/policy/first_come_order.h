#pragma once

#include "plantainpitch/policy/batch_order.h"

namespace plantainpitch {

/// Baseline: by time of submission, without quotas.
class first_come_order final : public batch_order
{
public:
    [[nodiscard]] std::vector<batch_choice> order(const std::vector<batch_candidate> &candidates,
                                                  const team_usage_map &teams,
                                                  std::int64_t nowMs) const override;
};

} // namespace plantainpitch
