#pragma once

#include "plantainpitch/role/message.h"

#include <string>
#include <string_view>

namespace plantainpitch::wire {

/// Frame without its length prefix: version and CRC-32 (4 bytes each, little endian), then a
/// FlatBuffers Message. Throws error(too_large) above maxFrameBytes.
std::string encodeFrame(const message &content);

/// Reverse of encodeFrame(). Throws error(protocol_error) for anything that encodeFrame() does not
/// produce.
message decodeFrame(std::string_view frame);

} // namespace plantainpitch::wire
