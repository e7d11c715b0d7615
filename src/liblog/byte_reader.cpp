#include "byte_reader.h"

#include "plantainpitch/model/error.h"

#include <limits>

namespace plantainpitch::detail {

void byte_reader::check(bool condition, const char *fault) const
{
    if (!condition) {
        throw error(error_kind::invalid_document,
                    "snapshot is damaged at byte " + std::to_string(m_at) + ": " + fault,
                    "load another snapshot");
    }
}

std::uint8_t byte_reader::byte()
{
    check(m_at < m_bytes.size(), "end of data");
    return static_cast<std::uint8_t>(m_bytes[m_at++]);
}

std::uint64_t byte_reader::number()
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
        const std::uint8_t next = byte();
        const std::uint64_t bits = next & 0x7FU;
        check(shift < 63 || bits <= 1, "number is too large");
        value |= bits << shift;
        if ((next & 0x80U) == 0) {
            check(next != 0 || shift == 0, "number is not in its shortest form");
            return value;
        }
    }
    check(false, "number is too long");
    return 0;
}

std::uint32_t byte_reader::number32()
{
    const std::uint64_t value = number();
    check(value <= std::numeric_limits<std::uint32_t>::max(), "number is too large");
    return static_cast<std::uint32_t>(value);
}

std::int64_t byte_reader::signedNumber()
{
    const std::uint64_t value = number();
    return static_cast<std::int64_t>((value >> 1U) ^ (~(value & 1U) + 1U));
}

bool byte_reader::flag()
{
    const std::uint8_t value = byte();
    check(value <= 1, "flag is neither 0 nor 1");
    return value == 1;
}

std::string byte_reader::text()
{
    const std::size_t size = count();
    std::string value(m_bytes.substr(m_at, size));
    m_at += size;
    return value;
}

std::size_t byte_reader::count()
{
    const std::uint64_t value = number();
    check(value <= m_bytes.size() - m_at, "count goes past the end of data");
    return static_cast<std::size_t>(value);
}

} // namespace plantainpitch::detail
