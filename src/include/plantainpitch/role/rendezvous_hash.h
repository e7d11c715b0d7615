#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpitch {

/// Weight of \a name for \a key; the same on every process and build.
std::uint64_t rendezvousWeight(std::string_view name, std::string_view key);

/// The name with the highest weight for \a key; empty if there are no names.
std::string rendezvousOwner(const std::vector<std::string> &names, std::string_view key);

} // namespace plantainpitch
