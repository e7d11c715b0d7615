#pragma once

#include "plantainpitch/log/record_batch.h"

#include <string>
#include <string_view>

namespace plantainpitch::wire {

/// Encodes a batch as it is appended to the log: format version and CRC-32 (4 bytes each, little
/// endian), followed by a FlatBuffers RecordBatch. Throws error(too_large) if the result exceeds
/// maxBatchBytes.
std::string encodeBatch(const record_batch &batch);

/// Decodes the result of encodeBatch(). Throws error(protocol_error) if the blob is malformed or
/// has another format version.
record_batch decodeBatch(std::string_view blob);

} // namespace plantainpitch::wire
