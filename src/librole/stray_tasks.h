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

/// Tasks that the worker lists and this process does not hold: of an earlier agent process, or
/// left over. They are stopped and forgotten once the log is known to have no claim for them.
class stray_tasks
{
public:
    /// The entries of a list that nothing else accounts for.
    void onListed(instant now, const std::vector<worker_task> &entries);
    /// Removes and returns the entry of a claim that is about to be adopted.
    std::optional<worker_task> take(const held_task &claim);
    /// The log has no claim for any stray that was seen before \a sentAt.
    void onNoClaims(instant sentAt);
    void onWorkerAnswer(const worker_answer &answer);
    void step(instant now, worker_link &worker);
    void clear() { m_strays.clear(); }

    [[nodiscard]] bool knows(const task_id &task) const;

private:
    struct stray
    {
        worker_task entry;
        instant seenAt;
        bool unclaimed = false;
        std::uint64_t callId = 0;
        instant nextCallAt;
    };

    std::map<std::pair<task_id, log_position>, stray> m_strays;
};

} // namespace plantainpitch
