#pragma once

#include <cstddef>
#include <string_view>

namespace plantainpitch::runtime::detail {

/// Levenshtein distance.
std::size_t editDistance(std::string_view a, std::string_view b);

} // namespace plantainpitch::runtime::detail
