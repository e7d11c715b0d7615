#pragma once

#include "plantainpitch/model/instant.h"

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
    /// Headroom that serving tasks beside it are expected to lose by it at full pace.
    double disturbance = 0;
    std::uint32_t targetMs = 0; ///< tail latency bound of a serving task; 0: none
    std::uint32_t usage = 0; ///< tail latency in ms of a serving task
};

/// Slows tasks that fill while a serving task beside them is near its latency target, those that
/// disturb most first and no more than the missing headroom needs; speeds them up again, those that
/// disturb least first. Answers waves of load on serving tasks: most filling images hardly disturb
/// a given serving image, so one pace for all would stop work that does no harm.
class pacing
{
public:
    /// One measurement of all tasks on the VM. Returns the new percentages of those that change.
    std::map<std::string, std::uint32_t> measure(const std::vector<paced_task> &tasks, instant now);

    /// Share at which a filling task works; 100 if it is not known.
    [[nodiscard]] std::uint32_t percentOf(const std::string &task) const;

private:
    void slowDown(std::vector<const paced_task *> &filling, double headroom);
    void speedUp(std::vector<const paced_task *> &filling, double headroom);

    std::map<std::string, std::uint32_t> m_percent; ///< of the filling tasks that are present
    instant m_changedAt{};
};

} // namespace plantainpitch::sched
