#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace plantainpitch {

/// Failures of tasks per VM. A VM on which tasks of different templates fail is at fault itself:
/// it is quarantined, and probed with one task at a time.
class vm_health
{
public:
    /// True if this failure starts or lengthens a quarantine.
    bool onFailure(instant now, const std::string &vm, const std::string &templateName);
    void onSuccess(const std::string &vm);
    [[nodiscard]] bool mayPropose(instant now, const std::string &vm) const;
    void onProposed(instant now, const std::string &vm);
    [[nodiscard]] bool inQuarantine(const std::string &vm) const;

private:
    struct record
    {
        std::uint32_t failures = 0; ///< since the last success
        std::set<std::string> templates;
        instant lastFailure;
        bool quarantined = false;
        duration probeInterval{};
        instant nextProbe;
    };

    std::map<std::string, record> m_records;
};

} // namespace plantainpitch
