#include "vm_health.h"

#include <algorithm>
#include <chrono>

namespace plantainpitch {

namespace {

constexpr std::uint32_t failuresForQuarantine = 3;
constexpr std::size_t templatesForQuarantine = 2;
// Failures further apart than this are not taken for one fault.
constexpr duration failureWindow = std::chrono::minutes(10);
constexpr duration firstProbeInterval = std::chrono::seconds(30);
constexpr duration maxProbeInterval = std::chrono::minutes(10);

} // namespace

bool vm_health::onFailure(instant now, const std::string &vm, const std::string &templateName)
{
    record &known = m_records[vm];
    if (!known.quarantined && known.failures > 0 && now > known.lastFailure + failureWindow)
        known = {};
    known.lastFailure = now;
    ++known.failures;
    known.templates.insert(templateName);
    if (known.quarantined)
        known.probeInterval = std::min(known.probeInterval * 2, maxProbeInterval);
    else if (known.failures >= failuresForQuarantine
             && known.templates.size() >= templatesForQuarantine)
        known.probeInterval = firstProbeInterval;
    else
        return false;
    known.quarantined = true;
    known.nextProbe = now + known.probeInterval;
    return true;
}

void vm_health::onSuccess(const std::string &vm)
{
    m_records.erase(vm);
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
