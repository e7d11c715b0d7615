#pragma once

#include "plantainpitch/log/log_record.h"

#include <cstddef>

namespace plantainpitch::detail {

/// Approximate size of a record in the log, in bytes: its texts and 64 bytes for the rest.
std::size_t approximateBytes(const log_record &record);

} // namespace plantainpitch::detail
