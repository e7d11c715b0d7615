#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace plantainpitch::runtime {

/// Decodes padded base64; nothing if malformed.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace plantainpitch::runtime
