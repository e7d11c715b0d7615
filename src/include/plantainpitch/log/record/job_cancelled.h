#pragma once

#include <string>

namespace plantainpitch {

/// Cancels a job: pending tasks at once, claimed tasks when their holder has stopped them.
struct job_cancelled
{
    std::string job;

    bool operator==(const job_cancelled &) const = default;
};

} // namespace plantainpitch
