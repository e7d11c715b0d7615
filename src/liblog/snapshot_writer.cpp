#include "plantainpitch/log/snapshot_writer.h"

#include "plantainpitch/log/snapshot_digest.h"
#include "plantainpitch/log/snapshot_reader.h"
#include "plantainpitch/model/error.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

snapshot_writer::snapshot_writer(std::uint64_t through, std::string data)
    : m_through(through)
    , m_data(std::move(data))
    , m_digest(snapshotDigest(m_data))
{
    const std::size_t parts = (m_data.size() + maxPartBytes - 1) / maxPartBytes;
    if (parts > snapshot_reader::maxParts) {
        throw error(error_kind::too_large,
                    "snapshot of " + std::to_string(m_data.size()) + " bytes is too large",
                    "raise snapshot_reader::maxParts in all processes first");
    }
    m_parts = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(parts));
}

snapshot_part snapshot_writer::next()
{
    snapshot_part part;
    part.through = m_through;
    part.part = m_next;
    part.parts = m_parts;
    part.digest = m_digest;
    part.data = m_data.substr(std::size_t(m_next) * maxPartBytes, maxPartBytes);
    ++m_next;
    return part;
}

} // namespace plantainpitch
