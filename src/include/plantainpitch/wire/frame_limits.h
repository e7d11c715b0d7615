#pragma once

#include <cstddef>
#include <cstdint>

namespace plantainpitch::wire {

/// Format version at the head of every frame and batch. Decoders reject any other version.
inline constexpr std::uint32_t formatVersion = 1;

/// Maximum size of a frame sent between processes, excluding its length prefix.
inline constexpr std::size_t maxFrameBytes = 1024UL * 1024;

/// Maximum size of a frame from a peer that has not said yet which process it is. Its first message
/// holds a few names.
inline constexpr std::size_t maxFirstFrameBytes = 16UL * 1024;

/// Maximum size of an encoded batch in the log. Larger than maxFrameBytes, because a batch holds
/// several records, each of which may have arrived in a frame of its own.
inline constexpr std::size_t maxBatchBytes = 4UL * 1024 * 1024;

/// Size of the little-endian length prefix of a frame.
inline constexpr std::size_t lengthPrefixBytes = 4;

/// Maximum size of an HTTP body, so that it fits in a frame together with paths, headers and ids.
inline constexpr std::size_t maxBodyBytes = maxFrameBytes - 64UL * 1024;

} // namespace plantainpitch::wire
