#include "plantainpitch/sched/pacing.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plantainpitch::sched {

namespace {

// Headroom is latency target / latency. The gap between the bounds prevents oscillation.
constexpr double slowDownBelow = 1.25;
constexpr double speedUpAbove = 1.4;
/// Lower bound, also used for unknown disturbance, so that slowing tasks down always counts for
/// something.
constexpr double minDisturbance = 0.02;
/// Over the target, the reduction is scaled up because the estimates may be too low.
constexpr double overTargetFactor = 2;
/// A slower task is stopped: its progress would not justify its disturbance.
constexpr std::uint32_t minPace = 10;
/// Time until a change shows in the measurements: each covers the last half second, and a new pace
/// takes effect with a delay.
constexpr std::chrono::milliseconds settleTime{ 600 };

double disturbanceOf(const paced_task &task)
{
    return std::max(task.disturbance, minDisturbance);
}

/// Returns the lowest headroom of the serving tasks; infinite if none has reported a latency.
double leastHeadroom(const std::vector<paced_task> &tasks)
{
    double least = std::numeric_limits<double>::infinity();
    for (const paced_task &each : tasks) {
        if (each.targetMs > 0 && each.usage > 0)
            least = std::min(least, static_cast<double>(each.targetMs) / each.usage);
    }
    return least;
}

} // namespace

std::uint32_t pacing::percentOf(const std::string &task) const
{
    const auto found = m_percent.find(task);
    return found == m_percent.end() ? fullPace : found->second;
}

std::map<std::string, std::uint32_t> pacing::update(const std::vector<paced_task> &tasks,
                                                    instant now)
{
    std::vector<const paced_task *> filling;
    std::map<std::string, std::uint32_t> before;
    for (const paced_task &each : tasks) {
        if (!each.fills)
            continue;
        filling.push_back(&each);
        before[each.task] = percentOf(each.task);
    }
    m_percent = before;
    if (now - m_changedAt < settleTime)
        return {};
    std::stable_sort(filling.begin(), filling.end(),
                     [](const auto *a, const auto *b) { return a->disturbance > b->disturbance; });
    const double headroom = leastHeadroom(tasks);
    if (headroom < slowDownBelow)
        slowDown(filling, headroom);
    else
        speedUp(filling, headroom);

    std::map<std::string, std::uint32_t> changes;
    for (const auto &[task, percent] : m_percent) {
        if (percent != before[task])
            changes[task] = percent;
    }
    if (!changes.empty())
        m_changedAt = now;
    return changes;
}

void pacing::slowDown(std::vector<const paced_task *> &filling, double headroom)
{
    double deficit = slowDownBelow - headroom;
    if (headroom < 1)
        deficit *= overTargetFactor;
    for (const paced_task *each : filling) {
        if (deficit <= 0)
            return;
        std::uint32_t &percent = m_percent[each->task];
        const double perPercent = disturbanceOf(*each) / fullPace;
        const auto needed = static_cast<std::uint32_t>(
                std::min<double>(percent, std::ceil(deficit / perPercent)));
        deficit -= needed * perPercent;
        percent -= needed;
        if (percent < minPace)
            percent = 0;
    }
}

void pacing::speedUp(std::vector<const paced_task *> &filling, double headroom)
{
    double spare = headroom - speedUpAbove;
    for (auto each = filling.rbegin(); each != filling.rend() && spare > 0; ++each) {
        std::uint32_t &percent = m_percent[(*each)->task];
        const double perPercent = disturbanceOf(**each) / fullPace;
        const auto possible = static_cast<std::uint32_t>(
                std::min<double>(fullPace - percent, spare / perPercent));
        if (percent + possible < minPace)
            continue;
        percent += possible;
        spare -= possible * perPercent;
    }
}

} // namespace plantainpitch::sched
