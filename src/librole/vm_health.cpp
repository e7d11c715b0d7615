#include "vm_health.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

constexpr std::size_t failuresForQuarantine = 3;
constexpr std::size_t jobsForQuarantine = 2;
constexpr std::size_t vmsForFaultyTemplate = 3;
// Bounds the memory per VM; a VM that cannot be quarantined goes on failing.
constexpr std::size_t maxFailuresKept = 64;
// Failures further apart than this are not taken for one fault.
constexpr duration failureWindow = std::chrono::minutes(10);
constexpr duration firstProbeInterval = std::chrono::seconds(30);
constexpr duration maxProbeInterval = std::chrono::minutes(10);

void keep(std::vector<task_id> &tasks, const task_id &task)
{
    if (tasks.size() == maxFailuresKept)
        tasks.erase(tasks.begin());
    tasks.push_back(task);
}

} // namespace

void vm_health::onFailure(instant now, const std::string &vm, const std::string &templateName,
                          const task_id &task)
{
    record &known = m_records[vm];
    if (!known.quarantined && now > known.lastFailure + failureWindow)
        known = {};
    known.lastFailure = now;
    std::set<std::string> &failedVms = m_failedVmsOf[templateName];
    if (failedVms.size() < vmsForFaultyTemplate)
        failedVms.insert(vm);
    keep(known.failed, task);
    if (failedVms.size() < vmsForFaultyTemplate)
        keep(known.evidence, task);
    if (known.quarantined) {
        known.probeInterval = std::min(known.probeInterval * 2, maxProbeInterval);
        known.nextProbe = now + known.probeInterval;
    }
}

void vm_health::onSuccess(const std::string &vm, const std::string &templateName)
{
    m_records.erase(vm);
    m_failedVmsOf.erase(templateName);
}

bool vm_health::isSuspect(const std::string &vm) const
{
    const auto known = m_records.find(vm);
    if (known == m_records.end() || known->second.quarantined)
        return false;
    std::set<std::string> jobs;
    for (const task_id &task : known->second.evidence)
        jobs.insert(task.job);
    return known->second.evidence.size() >= failuresForQuarantine
           && jobs.size() >= jobsForQuarantine;
}

std::vector<task_id> vm_health::quarantine(instant now, const std::string &vm)
{
    record &known = m_records[vm];
    known.quarantined = true;
    known.probeInterval = firstProbeInterval;
    known.nextProbe = now + known.probeInterval;
    return known.failed;
}

bool vm_health::mayPropose(instant now, const std::string &vm) const
{
    const auto known = m_records.find(vm);
    return known == m_records.end() || !known->second.quarantined || now >= known->second.nextProbe;
}

void vm_health::onProposed(instant now, const std::string &vm)
{
    const auto known = m_records.find(vm);
    if (known != m_records.end() && known->second.quarantined)
        known->second.nextProbe = now + known->second.probeInterval;
}

bool vm_health::inQuarantine(const std::string &vm) const
{
    const auto known = m_records.find(vm);
    return known != m_records.end() && known->second.quarantined;
}

} // namespace plantainpitch
