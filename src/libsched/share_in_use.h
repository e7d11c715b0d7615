#pragma once

#include "plantainpitch/sched/worker.h"

#include <map>
#include <memory>
#include <string>

namespace plantainpitch::sched::detail {

/// The largest share, over the kinds of resources, of what the service's workers have that is
/// reserved; 1 is all of it. Filling tasks reserve no processors: they use what the others leave.
[[nodiscard]] double shareInUse(const std::map<worker_key, std::unique_ptr<worker>> &workers,
                                const std::string &service);

} // namespace plantainpitch::sched::detail
