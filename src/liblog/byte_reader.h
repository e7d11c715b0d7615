#pragma once

#include "plantainpitch/model/log_position.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace plantainpitch::detail {

/// Reads what byte_writer wrote. Every function throws error(invalid_document) if the bytes end
/// early or are not in the one form that byte_writer gives.
class byte_reader
{
public:
    explicit byte_reader(std::string_view bytes)
        : m_bytes(bytes)
    {}

    std::uint8_t byte();
    std::uint64_t number();
    std::uint32_t number32();
    std::int64_t signedNumber();
    bool flag();
    std::string text();
    log_position position() { return { .value = number() }; }

    /// A number of elements that take at least one byte each, so that a false count cannot make
    /// the caller allocate more than the bytes could describe.
    std::size_t count();

    /// An enumerator from 0 to \a last.
    template <class enumeration>
    enumeration enumerator(enumeration last)
    {
        const std::uint8_t value = byte();
        check(value <= static_cast<std::uint8_t>(last), "unknown enumerator");
        return static_cast<enumeration>(value);
    }

    /// Throws if \a condition is false.
    void check(bool condition, const char *fault) const;
    /// Throws unless all bytes were read.
    void finish() const { check(m_at == m_bytes.size(), "bytes after the end"); }

private:
    std::string_view m_bytes;
    std::size_t m_at = 0;
};

} // namespace plantainpitch::detail
