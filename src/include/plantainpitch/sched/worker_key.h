#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace plantainpitch::sched {

/// Identifies one incarnation of a worker.
struct worker_key
{
    std::string id;
    std::uint64_t startMs = 0; ///< wall clock at its start

    auto operator<=>(const worker_key &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace plantainpitch::sched
