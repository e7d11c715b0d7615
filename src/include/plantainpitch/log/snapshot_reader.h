#pragma once

#include "plantainpitch/log/record/snapshot_part.h"
#include "plantainpitch/log/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace plantainpitch {

/// Collects the parts of snapshots while a stream is read. Parts may be missing, repeated and
/// mixed with those of other snapshots.
class snapshot_reader
{
public:
    /// 512 MB; bounds the memory that a false part can claim.
    static constexpr std::uint32_t maxParts = 8192;
    /// Snapshots that are collected at a time; the oldest is given up for a newer one.
    static constexpr std::size_t maxIncomplete = 3;

    void add(const snapshot_part &part);

    /// The complete snapshot with the highest offset and a correct digest; null if there is none.
    [[nodiscard]] const snapshot *newest() const { return m_newest ? &*m_newest : nullptr; }
    /// Parts and snapshots that were refused as malformed or for a wrong digest.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    struct collected_parts
    {
        std::vector<std::optional<std::string>> data;
        std::uint32_t missing = 0;
    };
    using snapshot_key = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;

    void complete(const snapshot_key &key, const collected_parts &parts);

    std::map<snapshot_key, collected_parts> m_incomplete; ///< by through, digest, parts
    std::optional<snapshot> m_newest;
    std::uint64_t m_refused = 0;
};

} // namespace plantainpitch
