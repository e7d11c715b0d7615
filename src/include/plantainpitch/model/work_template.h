#pragma once

#include "plantainpitch/model/idempotent_path.h"
#include "plantainpitch/model/priority.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_kind.h"
#include "plantainpitch/model/weighting.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainpitch {

/// A kind of work that operators publish and instantiate per client account.
struct work_template
{
    std::string name;
    task_kind kind = task_kind::batch;
    std::string team;
    resources taskResources;
    priority taskPriority = priority::normal;

    // Services.
    std::int64_t latencyTargetMs = 200; ///< 99th percentile that the service must meet
    std::int64_t requestTimeoutMs = 2000; ///< used when the caller gives none
    weighting goal = weighting::tail_latency; ///< against batch work on the same VM
    std::uint32_t slots = 8; ///< requests that one endpoint runs at once
    std::uint32_t connections = 64; ///< connections that one endpoint accepts
    std::uint32_t queueLimit = 32; ///< requests that may wait at one endpoint
    std::vector<idempotent_path> idempotentPaths;

    // Batch jobs and watchers.
    std::int64_t expectedRunTimeMs = 60'000;
    std::int64_t authorityTermMs = 10'000; ///< see docs/design.md, section 5.2
    std::uint32_t maxAttempts = 5;
    std::string command; ///< opaque to the scheduler; given to the worker

    bool operator==(const work_template &) const = default;
};

} // namespace plantainpitch
