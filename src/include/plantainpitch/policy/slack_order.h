#pragma once

#include "plantainpitch/policy/batch_order.h"
#include "plantainpitch/policy/size_estimator.h"

namespace plantainpitch {

/// Orders urgent jobs first, then by least slack (time to the deadline minus estimated run time),
/// and jobs without a deadline after these by time of submission. Enforces team quotas.
class slack_order final : public batch_order
{
public:
    /// \a sizes must outlive this object.
    explicit slack_order(const size_estimator &sizes)
        : m_sizes(sizes)
    {}

    [[nodiscard]] std::vector<batch_choice> order(const std::vector<batch_candidate> &candidates,
                                                  const team_usage_map &teams,
                                                  std::int64_t nowMs) const override;

private:
    const size_estimator &m_sizes;
};

} // namespace plantainpitch
