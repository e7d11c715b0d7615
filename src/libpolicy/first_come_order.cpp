#include "plantainpitch/policy/first_come_order.h"

#include <algorithm>
#include <tuple>

namespace plantainpitch {

std::vector<batch_choice> first_come_order::order(const std::vector<batch_candidate> &candidates,
                                                  const team_usage_map &teams,
                                                  std::int64_t nowMs) const
{
    (void)teams;
    (void)nowMs;
    std::vector<batch_choice> choices;
    choices.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        choices.push_back({ .candidate = i, .maxTasks = candidates[i].waitingTasks });
    std::sort(choices.begin(), choices.end(), [&](const auto &a, const auto &b) {
        const batch_candidate &x = candidates[a.candidate];
        const batch_candidate &y = candidates[b.candidate];
        return std::tie(x.submittedMs, x.job) < std::tie(y.submittedMs, y.job);
    });
    return choices;
}

} // namespace plantainpitch
