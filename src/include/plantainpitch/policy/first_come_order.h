#pragma once

#include "plantainpitch/policy/batch_order.h"

namespace plantainpitch {

/// Baseline: orders jobs by time of submission and ignores quotas.
class first_come_order final : public batch_order
{
public:
    [[nodiscard]] std::vector<batch_choice> order(const std::vector<batch_candidate> &candidates,
                                                  const team_usage_map &teams,
                                                  std::int64_t nowMs) const override;
};

} // namespace plantainpitch
