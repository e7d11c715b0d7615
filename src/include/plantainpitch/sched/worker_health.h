#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/worker.h"

#include <string>

namespace plantainpitch::sched {

/// Takes a worker out of use for a while once tasks of several jobs have failed on it in a row: one
/// job that fails everywhere says nothing about a worker.
void noteFailure(worker &where, const std::string &job, instant now);
/// A task has run to its end: the worker is sound.
void noteSuccess(worker &where);

} // namespace plantainpitch::sched
