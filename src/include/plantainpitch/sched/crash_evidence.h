#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/worker_key.h"

#include <string>

namespace plantainpitch::sched {

/// A crash of a worker, as the owner knows it.
struct seen_crash
{
    worker_key worker;
    instant at{};
    bool conclusive = false; ///< it points to one task
    bool unreported = false; ///< no agent saw it; \a at is the restart of the worker
};

/// A task that is suspected of a crash, until it is decided whether the crash counts.
struct pending_decision
{
    std::string task;
    worker_key worker; ///< the worker that crashed
    bool conclusive = false; ///< the crash points to this task, unless others coincide with it
    bool mayHaveCoincided = false; ///< an earlier owner counted the crash
    instant crashedAt{};
    instant due{};
};

} // namespace plantainpitch::sched
