#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/task_id.h"

#include <map>

namespace plantainpitch {

/// Times at which this process read each revocation, by its own clock. Reading one late, e.g. from
/// a snapshot, prolongs the wait.
class revocation_table
{
public:
    /// Records a revocation; only the first call for a log position sets its time.
    void add(instant now, const task_id &task, log_position revocation)
    {
        entry &known = m_entries[task];
        if (known.revocation != revocation)
            known = { .revocation = revocation, .readAt = now };
    }
    void erase(const task_id &task) { m_entries.erase(task); }
    void clear() { m_entries.clear(); }

    /// Returns the time since the revocation was read; zero if it is unknown.
    [[nodiscard]] duration age(instant now, const task_id &task, log_position revocation) const
    {
        const auto found = m_entries.find(task);
        if (found == m_entries.end() || found->second.revocation != revocation)
            return duration::zero();
        return now - found->second.readAt;
    }

private:
    struct entry
    {
        log_position revocation;
        instant readAt;
    };

    std::map<task_id, entry> m_entries;
};

} // namespace plantainpitch
