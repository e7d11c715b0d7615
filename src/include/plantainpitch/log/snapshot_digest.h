#pragma once

#include <cstdint>
#include <string_view>

namespace plantainpitch {

/// Digest of the bytes of a snapshot (64-bit FNV-1a). Guards against damage and against states
/// that differ, not against forgery.
constexpr std::uint64_t snapshotDigest(std::string_view bytes)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char c : bytes)
        hash = (hash ^ static_cast<std::uint8_t>(c)) * 0x100000001B3ULL;
    return hash;
}

} // namespace plantainpitch
