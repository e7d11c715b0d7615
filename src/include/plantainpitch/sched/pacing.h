#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Pace at which a worker starts every task, in percent.
inline constexpr std::uint32_t fullPace = 100;

/// Input of the pacing for one task on the VM.
struct paced_task
{
    std::string task;
    bool fills = false; ///< may be paced
    /// Expected loss of headroom of the serving tasks on the VM if this task runs at full pace.
    double disturbance = 0;
    std::uint32_t targetMs = 0; ///< tail latency bound of a serving task; 0: none
    std::uint32_t usage = 0; ///< tail latency in ms of a serving task
};

/// Throttles filling tasks while a serving task on the VM is near its latency target, the most
/// disturbing first and only as far as the headroom requires, and speeds them up again, the least
/// disturbing first. This handles varying load on serving tasks. Each task has its own pace because
/// most filling images hardly disturb a given serving image; a common pace would stop them too.
class pacing
{
public:
    /// Processes a measurement of all tasks on the VM. Returns the paces that change, in percent.
    std::map<std::string, std::uint32_t> update(const std::vector<paced_task> &tasks, instant now);

    /// Returns the pace of a filling task; 100 if the task is unknown.
    [[nodiscard]] std::uint32_t percentOf(const std::string &task) const;

private:
    void slowDown(std::vector<const paced_task *> &filling, double headroom);
    void speedUp(std::vector<const paced_task *> &filling, double headroom);

    std::map<std::string, std::uint32_t> m_percent; ///< by filling task on the VM
    instant m_changedAt{};
};

} // namespace plantainpitch::sched
