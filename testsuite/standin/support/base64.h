#pragma once

#include <string>

namespace plantainpitch::standin {

/// Base64 with padding.
std::string toBase64(const std::string &bytes);

} // namespace plantainpitch::standin
