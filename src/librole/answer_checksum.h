#pragma once

#include "plantainpitch/role/message/answer.h"

#include <cstdint>
#include <string>

namespace plantainpitch::detail {

/// CRC-32 (IEEE 802.3 polynomial) of a body.
std::uint32_t bodyChecksum(const std::string &body);

/// False if the body was truncated or altered in transit.
bool isIntact(const answer &value);

} // namespace plantainpitch::detail
