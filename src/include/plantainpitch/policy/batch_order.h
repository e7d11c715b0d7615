#pragma once

#include "plantainpitch/policy/batch_candidate.h"
#include "plantainpitch/policy/batch_choice.h"
#include "plantainpitch/policy/team_usage.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainpitch {

using team_usage_map = std::map<std::string, team_usage>;

/// Decides the order in which jobs get free resources. Not thread-safe.
class batch_order
{
public:
    batch_order() = default;
    batch_order(const batch_order &) = delete;
    batch_order &operator=(const batch_order &) = delete;
    virtual ~batch_order() = default;

    /// Candidates whose tasks may be placed, best first.
    [[nodiscard]] virtual std::vector<batch_choice>
    order(const std::vector<batch_candidate> &candidates, const team_usage_map &teams,
          std::int64_t nowMs) const = 0;
};

} // namespace plantainpitch
