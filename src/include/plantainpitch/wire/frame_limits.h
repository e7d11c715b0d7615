#pragma once

#include <cstddef>
#include <cstdint>

namespace plantainpitch::wire {

/// Version in every frame and batch; another version is refused.
inline constexpr std::uint32_t formatVersion = 1;

/// Largest frame between processes, without its length prefix.
inline constexpr std::size_t maxFrameBytes = 1024UL * 1024;

/// Largest batch in the log. Above the frame limit: a submitted record arrives in a frame and is
/// stored with others.
inline constexpr std::size_t maxBatchBytes = 4UL * 1024 * 1024;

/// Bytes of the length prefix, little endian.
inline constexpr std::size_t prefixBytes = 4;

/// Largest HTTP body that fits in a frame together with paths, headers and ids.
inline constexpr std::size_t maxBodyBytes = maxFrameBytes - 64UL * 1024;

} // namespace plantainpitch::wire
