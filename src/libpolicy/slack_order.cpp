#include "plantainpitch/policy/slack_order.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace plantainpitch {

std::vector<batch_choice> slack_order::order(const std::vector<batch_candidate> &candidates,
                                             const team_usage_map &teams, std::int64_t nowMs) const
{
    struct ranked
    {
        bool normal = false;
        std::int64_t slackMs = 0;
        std::int64_t submittedMs = 0;
        std::size_t index = 0;
    };
    std::vector<ranked> ranking;
    ranking.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const batch_candidate &job = candidates[i];
        const std::int64_t runTimeMs = m_sizes.runTimeMs(job.templateName, job.expectedRunTimeMs);
        const std::int64_t slackMs = job.deadlineMs == 0 ? std::numeric_limits<std::int64_t>::max()
                                                         : job.deadlineMs - nowMs - runTimeMs;
        ranking.push_back({ .normal = job.taskPriority != priority::urgent,
                            .slackMs = slackMs,
                            .submittedMs = job.submittedMs,
                            .index = i });
    }
    std::sort(ranking.begin(), ranking.end(), [](const ranked &a, const ranked &b) {
        return std::tie(a.normal, a.slackMs, a.submittedMs, a.index)
               < std::tie(b.normal, b.slackMs, b.submittedMs, b.index);
    });

    team_usage_map usage = teams;
    std::vector<batch_choice> choices;
    for (const ranked &entry : ranking) {
        const batch_candidate &job = candidates[entry.index];
        std::uint32_t most = job.waitingTasks;
        const auto team = usage.find(job.team);
        if (team != usage.end() && team->second.quota != 0) {
            const std::uint32_t quota = team->second.quota;
            most = std::min(most, quota - std::min(team->second.running, quota));
            team->second.running += most;
        }
        if (most > 0)
            choices.push_back({ .candidate = entry.index, .maxTasks = most });
    }
    return choices;
}

} // namespace plantainpitch
