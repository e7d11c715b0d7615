#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpitch {

/// Returns the weight of \a name for \a key; it is the same in every process and build.
std::uint64_t rendezvousWeight(std::string_view name, std::string_view key);

/// Returns the name with the highest weight for \a key, or an empty string if there are no names.
std::string rendezvousOwner(const std::vector<std::string> &names, std::string_view key);

} // namespace plantainpitch
