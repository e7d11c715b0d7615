#pragma once

#include "worker_link.h"

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/message/held_task.h"
#include "plantainpitch/role/worker/worker_answer.h"
#include "plantainpitch/role/worker/worker_task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace plantainpitch {

/// Tasks that the worker lists but this process does not hold, e.g. those of an earlier agent
/// process. Once the log is known to contain no claim for them, the worker is told to stop and
/// forget them.
class orphaned_tasks
{
public:
    /// Replaces the orphans with \a entries, the listed tasks that match no held task.
    void onListed(instant now, const std::vector<worker_task> &entries);
    /// Removes and returns the entry of a claim that is about to be adopted.
    std::optional<worker_task> take(const held_task &claim);
    /// The log contains no claim for any orphan first seen at or before \a sentAt.
    void onNoClaims(instant sentAt);
    void onWorkerAnswer(const worker_answer &answer);
    void step(instant now, worker_link &worker);
    void clear() { m_orphans.clear(); }

    [[nodiscard]] bool contains(const task_id &task) const;

private:
    struct orphan
    {
        worker_task entry;
        instant seenAt;
        bool unclaimed = false;
        std::uint64_t callId = 0;
        instant nextCallAt;
    };

    std::map<std::pair<task_id, log_position>, orphan> m_orphans;
};

} // namespace plantainpitch
