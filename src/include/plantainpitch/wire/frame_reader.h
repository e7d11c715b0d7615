#pragma once

#include "plantainpitch/wire/frame_limits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainpitch::wire {

/// Splits a byte stream into length-prefixed frames. The buffer grows only with the bytes received;
/// a length prefix alone never causes an allocation.
class frame_reader
{
public:
    /// Appends the next bytes of the stream to the buffer.
    void append(std::string_view bytes);

    /// Sets the largest frame that is accepted from now on; maxFrameBytes until it is called.
    void setLimit(std::size_t frameBytes) { m_limit = frameBytes; }

    /// Returns the next frame without its length prefix, or nothing if it is still incomplete.
    /// Throws error(protocol_error) if the length prefix is zero or above the limit; the stream
    /// cannot be read any further after that.
    std::optional<std::string> next();

    /// Number of buffered bytes that next() has not returned yet.
    [[nodiscard]] std::size_t pendingBytes() const { return m_buffer.size() - m_readOffset; }

private:
    std::string m_buffer;
    std::size_t m_readOffset = 0;
    std::size_t m_limit = maxFrameBytes;
};

/// Encodes the length prefix of a frame of \a frameBytes bytes.
std::string framePrefix(std::size_t frameBytes);

} // namespace plantainpitch::wire
