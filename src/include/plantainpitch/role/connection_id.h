#pragma once

#include <cstdint>

namespace plantainpitch {

/// Number of a connection between processes, never used twice by a process.
using connection_id = std::uint64_t;

} // namespace plantainpitch
