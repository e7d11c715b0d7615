#pragma once

#include <cstdint>

namespace plantainpitch {

/// Identifies a connection to another process. A process never reuses an id.
using connection_id = std::uint64_t;

} // namespace plantainpitch
