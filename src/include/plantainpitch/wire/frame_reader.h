#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainpitch::wire {

/// Cuts a byte stream into frames. The buffer grows with the bytes that arrived, never with an
/// announced length.
class frame_reader
{
public:
    /// Takes further bytes of the stream.
    void append(std::string_view bytes);

    /// The next whole frame without its prefix, if it has arrived. Throws error(protocol_error) if
    /// the announced length is zero or above the limit; the stream cannot be read further then.
    std::optional<std::string> next();

    /// Bytes that belong to no whole frame yet.
    [[nodiscard]] std::size_t pendingBytes() const { return m_buffer.size() - m_start; }

private:
    std::string m_buffer;
    std::size_t m_start = 0;
};

/// The length prefix of a frame.
std::string framePrefix(std::size_t frameBytes);

} // namespace plantainpitch::wire
