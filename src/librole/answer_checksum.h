#pragma once

#include "plantainpitch/role/message/answer.h"

#include <cstdint>
#include <string>

namespace plantainpitch::detail {

/// CRC-32 (polynomial of IEEE 802.3) of a body.
std::uint32_t bodyChecksum(const std::string &body);

/// False if the body was cut short or changed on its way.
bool isWhole(const answer &value);

} // namespace plantainpitch::detail
