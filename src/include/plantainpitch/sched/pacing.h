#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// A task beside others on one VM, as the pacing sees it.
struct paced_task
{
    std::string task;
    bool fills = false; ///< may be paced
    std::uint32_t targetMs = 0; ///< tail latency bound of a serving task; 0: none
    std::uint32_t usage = 0; ///< tail latency in ms of a serving task
};

/// Slows tasks that fill while a serving task beside them is near its latency target, and lets them
/// speed up again slowly. Answers waves of load on serving tasks: the measurement lags by half a
/// second, so it halves at once and recovers in small steps.
class pacing
{
public:
    /// One measurement of all tasks on the VM. Returns the new percentages of those that change.
    std::map<std::string, std::uint32_t> measure(const std::vector<paced_task> &tasks);

    /// Share at which filling tasks work.
    [[nodiscard]] std::uint32_t percent() const { return m_percent; }

private:
    std::uint32_t m_percent = 100;
    std::map<std::string, std::uint32_t> m_applied;
};

} // namespace plantainpitch::sched
