#pragma once

#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/worker_key.h"

#include <cstdint>

namespace plantainpitch::sched {

/// What an announcement says about a worker. It may come from another writer, or be delayed beyond
/// the end of the incarnation that it names.
struct worker_announcement
{
    worker_info info;
    std::uint64_t sequence = 0; ///< increases with each announcement of an incarnation

    [[nodiscard]] worker_key key() const { return { info.id, info.startMs }; }
    bool operator==(const worker_announcement &) const = default;
};

} // namespace plantainpitch::sched
