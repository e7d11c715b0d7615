#include "plantainpitch/policy/slack_order.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace plantainpitch {

std::vector<batch_choice> slack_order::order(const std::vector<batch_candidate> &candidates,
                                             const team_usage_map &teams, std::int64_t nowMs) const
{
    struct ranked_job
    {
        bool notUrgent = false;
        std::int64_t slackMs = 0;
        std::int64_t submittedMs = 0;
        std::size_t index = 0;
    };
    std::vector<ranked_job> ranking;
    ranking.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const batch_candidate &job = candidates[i];
        const std::int64_t runTimeMs = m_sizes.runTimeMs(job.templateName, job.expectedRunTimeMs);
        const std::int64_t slackMs = job.deadlineMs == 0 ? std::numeric_limits<std::int64_t>::max()
                                                         : job.deadlineMs - nowMs - runTimeMs;
        ranking.push_back({ .notUrgent = job.taskPriority != priority::urgent,
                            .slackMs = slackMs,
                            .submittedMs = job.submittedMs,
                            .index = i });
    }
    std::sort(ranking.begin(), ranking.end(), [](const ranked_job &a, const ranked_job &b) {
        return std::tie(a.notUrgent, a.slackMs, a.submittedMs, a.index)
               < std::tie(b.notUrgent, b.slackMs, b.submittedMs, b.index);
    });

    team_usage_map usage = teams;
    std::vector<batch_choice> choices;
    for (const ranked_job &entry : ranking) {
        const batch_candidate &job = candidates[entry.index];
        std::uint32_t maxTasks = job.waitingTasks;
        const auto team = usage.find(job.team);
        if (team != usage.end() && team->second.quota != 0) {
            const std::uint32_t quota = team->second.quota;
            maxTasks = std::min(maxTasks, quota - std::min(team->second.running, quota));
            team->second.running += maxTasks;
        }
        if (maxTasks > 0)
            choices.push_back({ .candidate = entry.index, .maxTasks = maxTasks });
    }
    return choices;
}

} // namespace plantainpitch
