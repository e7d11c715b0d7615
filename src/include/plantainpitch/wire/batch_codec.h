#pragma once

#include "plantainpitch/log/record_batch.h"

#include <string>
#include <string_view>

namespace plantainpitch::wire {

/// The blob that is appended to the log: version and CRC-32 (4 bytes each, little endian), then a
/// FlatBuffers RecordBatch. Throws error(too_large) above maxBatchBytes.
std::string encodeBatch(const record_batch &batch);

/// Reverse of encodeBatch(). Throws error(protocol_error) for anything that encodeBatch() does not
/// produce.
record_batch decodeBatch(std::string_view blob);

} // namespace plantainpitch::wire
