#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/worker.h"

#include <cstdint>
#include <string>

namespace plantainpitch::sched {

/// Excludes a worker from placement for some time once tasks of several jobs have failed on it in a
/// row. Failures of a single job do not count, as that job may fail on every worker. Failures that
/// lie far back are forgotten.
void recordFailure(worker &worker, const std::string &job, instant now);
/// Resets the failure history after a run that was ordered at \a orderedAt has completed on the
/// worker. A run that began during an exclusion for failures ends it.
void recordSuccess(worker &worker, instant orderedAt, instant now);
/// Whether the last exclusion was for failures and ended because a run completed.
bool exclusionEndedByRun(const worker &worker);
/// Whether a run may start on the excluded worker to find out if it is sound again. Limits the
/// attempts that a worker which goes on failing uses up.
bool mayTry(const worker &worker, instant now);
/// Whether this may be a run of a task with so many failures. The last attempt is not risked right
/// after another task has failed there.
bool mayTryWithFailures(const worker &worker, std::uint32_t failures, std::uint32_t maxAttempts,
                        instant now);

} // namespace plantainpitch::sched
