#pragma once

#include "plantainpitch/role/message.h"

#include <string>
#include <string_view>

namespace plantainpitch::wire {

/// Encodes a message as a frame without its length prefix: format version and CRC-32 (4 bytes each,
/// little endian), followed by a FlatBuffers Message. Throws error(too_large) if the result exceeds
/// maxFrameBytes.
std::string encodeFrame(const message &content);

/// Decodes the result of encodeFrame(). Throws error(protocol_error) if the frame is malformed or
/// has another format version.
message decodeFrame(std::string_view frame);

} // namespace plantainpitch::wire
