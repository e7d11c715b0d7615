#include "plantainpitch/log/snapshot_reader.h"

#include "plantainpitch/log/snapshot_digest.h"
#include "plantainpitch/log/snapshot_writer.h"

#include <utility>

namespace plantainpitch {

void snapshot_reader::add(const snapshot_part &part)
{
    if (part.parts == 0 || part.parts > maxParts || part.part >= part.parts
        || part.data.size() > snapshot_writer::maxPartBytes) {
        ++m_refused;
        return;
    }
    if (m_newest && part.through <= m_newest->through)
        return;
    const snapshot_key key{ part.through, part.digest, part.parts };
    const auto [it, isNew] = m_incomplete.try_emplace(key);
    collected_parts &parts = it->second;
    if (isNew) {
        parts.data.resize(part.parts);
        parts.missing = part.parts;
    }
    if (!parts.data[part.part]) {
        parts.data[part.part] = part.data;
        --parts.missing;
    }
    if (parts.missing == 0) {
        const collected_parts all = std::move(m_incomplete.extract(it).mapped());
        complete(key, all);
    } else if (m_incomplete.size() > maxIncomplete) {
        m_incomplete.erase(m_incomplete.begin());
    }
}

void snapshot_reader::complete(const snapshot_key &key, const collected_parts &parts)
{
    snapshot all{ .through = std::get<0>(key), .digest = std::get<1>(key), .data = {} };
    for (const std::optional<std::string> &data : parts.data)
        all.data += *data;
    if (snapshotDigest(all.data) != all.digest) {
        ++m_refused;
        return;
    }
    std::erase_if(m_incomplete,
                  [&all](const auto &entry) { return std::get<0>(entry.first) <= all.through; });
    m_newest = std::move(all);
}

} // namespace plantainpitch
