#include "plantainpitch/sched/pacing.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

// Shares of the target. The gap between them keeps the percentage from swinging.
constexpr double slowAbove = 0.95;
constexpr double speedUpBelow = 0.8;
constexpr std::uint32_t stepUp = 20;
/// Below this a task makes no progress worth its disturbance.
constexpr std::uint32_t smallest = 10;

} // namespace

std::map<std::string, std::uint32_t> pacing::measure(const std::vector<paced_task> &tasks)
{
    double worst = 0;
    for (const paced_task &each : tasks) {
        if (each.targetMs > 0)
            worst = std::max(worst, static_cast<double>(each.usage) / each.targetMs);
    }
    if (worst > 1)
        m_percent = m_percent > 2 * smallest ? m_percent / 4 : 0;
    else if (worst > slowAbove)
        m_percent = m_percent > smallest ? m_percent / 2 : 0;
    else if (worst < speedUpBelow)
        m_percent = std::min<std::uint32_t>(100, m_percent + stepUp);

    std::map<std::string, std::uint32_t> present;
    std::map<std::string, std::uint32_t> changes;
    for (const paced_task &each : tasks) {
        if (!each.fills)
            continue;
        const auto applied = m_applied.find(each.task);
        const std::uint32_t before = applied == m_applied.end() ? 100 : applied->second;
        if (before != m_percent)
            changes[each.task] = m_percent;
        present[each.task] = m_percent;
    }
    m_applied = std::move(present);
    return changes;
}

} // namespace plantainpitch::sched
