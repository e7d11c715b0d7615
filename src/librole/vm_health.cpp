#include "vm_health.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

constexpr std::size_t failuresForQuarantine = 3;
constexpr std::size_t jobsForQuarantine = 2;
constexpr std::size_t vmsForFaultyTemplate = 3;
// Limits the memory per VM: a VM that cannot be quarantined keeps accumulating failures.
constexpr std::size_t maxFailuresPerVm = 64;
// Failures further apart than this are not attributed to the same fault.
constexpr duration failureWindow = std::chrono::minutes(10);
constexpr duration firstProbeInterval = std::chrono::seconds(30);
constexpr duration maxProbeInterval = std::chrono::minutes(10);

void appendBounded(std::vector<task_id> &tasks, const task_id &task)
{
    if (tasks.size() == maxFailuresPerVm)
        tasks.erase(tasks.begin());
    tasks.push_back(task);
}

} // namespace

void vm_health::onFailure(instant now, const std::string &vm, const std::string &templateName,
                          const task_id &task)
{
    failure_history &history = m_histories[vm];
    if (!history.quarantined && now > history.lastFailure + failureWindow)
        history = {};
    history.lastFailure = now;
    std::set<std::string> &failedVms = m_failedVmsByTemplate[templateName];
    if (failedVms.size() < vmsForFaultyTemplate)
        failedVms.insert(vm);
    appendBounded(history.failedTasks, task);
    if (failedVms.size() < vmsForFaultyTemplate)
        appendBounded(history.attributedFailures, task);
    if (history.quarantined) {
        history.probeInterval = std::min(history.probeInterval * 2, maxProbeInterval);
        history.nextProbe = now + history.probeInterval;
    }
}

void vm_health::onSuccess(const std::string &vm, const std::string &templateName)
{
    m_histories.erase(vm);
    m_failedVmsByTemplate.erase(templateName);
}

bool vm_health::shouldQuarantine(const std::string &vm) const
{
    const auto found = m_histories.find(vm);
    if (found == m_histories.end() || found->second.quarantined)
        return false;
    std::set<std::string> jobs;
    for (const task_id &task : found->second.attributedFailures)
        jobs.insert(task.job);
    return found->second.attributedFailures.size() >= failuresForQuarantine
           && jobs.size() >= jobsForQuarantine;
}

std::vector<task_id> vm_health::quarantine(instant now, const std::string &vm)
{
    failure_history &history = m_histories[vm];
    history.quarantined = true;
    history.probeInterval = firstProbeInterval;
    history.nextProbe = now + history.probeInterval;
    return history.failedTasks;
}

bool vm_health::mayPropose(instant now, const std::string &vm) const
{
    const auto found = m_histories.find(vm);
    return found == m_histories.end() || !found->second.quarantined
           || now >= found->second.nextProbe;
}

void vm_health::onProposed(instant now, const std::string &vm)
{
    const auto found = m_histories.find(vm);
    if (found != m_histories.end() && found->second.quarantined)
        found->second.nextProbe = now + found->second.probeInterval;
}

bool vm_health::inQuarantine(const std::string &vm) const
{
    const auto found = m_histories.find(vm);
    return found != m_histories.end() && found->second.quarantined;
}

} // namespace plantainpitch
