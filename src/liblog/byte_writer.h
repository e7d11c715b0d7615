#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace plantainpitch::detail {

/// Writes numbers as little-endian base 128 and texts with their length.
class byte_writer
{
public:
    void byte(std::uint8_t value) { m_bytes.push_back(static_cast<char>(value)); }

    void number(std::uint64_t value)
    {
        while (value >= 0x80) {
            byte(static_cast<std::uint8_t>(value | 0x80U));
            value >>= 7U;
        }
        byte(static_cast<std::uint8_t>(value));
    }

    /// Zigzag form, so that small negative numbers stay short.
    void signedNumber(std::int64_t value)
    {
        number((static_cast<std::uint64_t>(value) << 1U)
               ^ static_cast<std::uint64_t>(value >> 63U));
    }

    void flag(bool value) { byte(value ? 1 : 0); }

    void text(const std::string &value)
    {
        number(value.size());
        m_bytes += value;
    }

    [[nodiscard]] std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

} // namespace plantainpitch::detail
