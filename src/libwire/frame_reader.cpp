#include "plantainpitch/wire/frame_reader.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/frame_limits.h"

#include <boost/endian/conversion.hpp>

namespace plantainpitch::wire {

namespace {

constexpr std::size_t keptBytes = 64UL * 1024;

} // namespace

void frame_reader::append(std::string_view bytes)
{
    if (m_start > 0) {
        m_buffer.erase(0, m_start);
        m_start = 0;
    }
    m_buffer.append(bytes);
}

std::optional<std::string> frame_reader::next()
{
    if (pendingBytes() < prefixBytes)
        return std::nullopt;
    const auto *prefix = reinterpret_cast<const unsigned char *>(m_buffer.data() + m_start);
    const std::size_t length = boost::endian::load_little_u32(prefix);
    if (length == 0 || length > maxFrameBytes) {
        throw error(error_kind::protocol_error,
                    "announced frame length of " + std::to_string(length)
                            + " bytes is outside 1 to " + std::to_string(maxFrameBytes),
                    "check that the peer is a process of this system");
    }
    if (pendingBytes() < prefixBytes + length)
        return std::nullopt;
    std::string frame = m_buffer.substr(m_start + prefixBytes, length);
    m_start += prefixBytes + length;
    // A single large frame must not hold its memory for the life of a connection.
    if (pendingBytes() == 0 && m_buffer.capacity() > keptBytes) {
        m_buffer = {};
        m_start = 0;
    }
    return frame;
}

std::string framePrefix(std::size_t frameBytes)
{
    std::string prefix(prefixBytes, '\0');
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(prefix.data()),
                                    static_cast<std::uint32_t>(frameBytes));
    return prefix;
}

} // namespace plantainpitch::wire
