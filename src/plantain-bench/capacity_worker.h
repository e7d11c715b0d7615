#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/worker/worker_answer.h"
#include "plantainpitch/role/worker/worker_call.h"

#include <map>

namespace plantainpitch {

/// A worker whose tasks run without end and which answers every call at once.
class capacity_worker
{
public:
    static constexpr resources capacity{ .processorsMilli = 32'000,
                                         .memoryBytes = std::int64_t(125) << 30U,
                                         .accelerators = 2 };

    worker_answer answer(instant now, const worker_call &call);
    [[nodiscard]] std::size_t taskCount() const { return m_tasks.size(); }

private:
    std::map<task_id, worker_task> m_tasks;
};

} // namespace plantainpitch
