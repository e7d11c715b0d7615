#pragma once

#include "plantainpitch/log/record/snapshot_part.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainpitch {

/// Splits a snapshot into records for the log, one at a time, so that the owner can pace them.
class snapshot_writer
{
public:
    static constexpr std::size_t maxPartBytes = std::size_t(64) * 1024;

    /// \a data is the state as given by saveSnapshot(), \a through the last offset in it.
    /// Throws error(too_large) for a state that needs more than snapshot_reader::maxParts parts.
    snapshot_writer(std::uint64_t through, std::string data);

    [[nodiscard]] bool done() const { return m_next == m_parts; }
    /// The next part; only valid if not done().
    snapshot_part next();

private:
    std::uint64_t m_through;
    std::string m_data;
    std::uint64_t m_digest;
    std::uint32_t m_next = 0;
    std::uint32_t m_parts;
};

} // namespace plantainpitch
