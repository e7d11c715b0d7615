#pragma once

#include "plantainpitch/model/priority.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_kind.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Creates a job; its tasks start as pending. Accepted if the job id is unknown
/// and the task count is in range.
struct job_submitted
{
    /// Bounds the memory that one record can take; larger jobs are refused.
    static constexpr std::uint32_t maxTaskCount = 100'000;

    std::string job;
    std::string templateName;
    std::string account;
    std::string team;
    task_kind kind = task_kind::batch;
    std::uint32_t taskCount = 1;
    resources taskResources;
    priority taskPriority = priority::normal;
    std::int64_t submittedMs = 0; ///< wall clock, milliseconds since 1970
    std::int64_t deadlineMs = 0; ///< wall clock, milliseconds since 1970; 0: none
    std::int64_t expectedRunTimeMs = 0;
    std::int64_t authorityTermMs = 10'000;
    std::uint32_t maxAttempts = 5;
    std::string command; ///< given to the worker as it is

    bool operator==(const job_submitted &) const = default;
};

} // namespace plantainpitch
