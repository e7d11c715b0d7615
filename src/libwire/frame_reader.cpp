#include "plantainpitch/wire/frame_reader.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/frame_limits.h"

#include <boost/endian/conversion.hpp>

namespace plantainpitch::wire {

namespace {

constexpr std::size_t maxIdleBufferBytes = 64UL * 1024;

} // namespace

void frame_reader::append(std::string_view bytes)
{
    if (m_readOffset > 0) {
        m_buffer.erase(0, m_readOffset);
        m_readOffset = 0;
    }
    m_buffer.append(bytes);
}

std::optional<std::string> frame_reader::next()
{
    if (pendingBytes() < lengthPrefixBytes)
        return std::nullopt;
    const auto *prefix = reinterpret_cast<const unsigned char *>(m_buffer.data() + m_readOffset);
    const std::size_t length = boost::endian::load_little_u32(prefix);
    if (length == 0 || length > m_limit) {
        throw error(error_kind::protocol_error,
                    "announced frame length of " + std::to_string(length)
                            + " bytes is outside 1 to " + std::to_string(m_limit),
                    "check that the peer is a process of this system");
    }
    if (pendingBytes() < lengthPrefixBytes + length)
        return std::nullopt;
    std::string frame = m_buffer.substr(m_readOffset + lengthPrefixBytes, length);
    m_readOffset += lengthPrefixBytes + length;
    // Releases a large buffer, so that one large frame does not occupy memory for the lifetime of
    // the connection.
    if (pendingBytes() == 0 && m_buffer.capacity() > maxIdleBufferBytes) {
        m_buffer = {};
        m_readOffset = 0;
    }
    return frame;
}

std::string framePrefix(std::size_t frameBytes)
{
    std::string prefix(lengthPrefixBytes, '\0');
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(prefix.data()),
                                    static_cast<std::uint32_t>(frameBytes));
    return prefix;
}

} // namespace plantainpitch::wire
