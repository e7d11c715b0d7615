#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <cstdint>
#include <unordered_map>

namespace plantainpitch {

/// Decides which batches of a stream are folded, so that repeats of a batch are ignored, with a
/// memory that is bounded by the length of the window.
///
/// A batch carries the offset that its producer knew as the end of the stream when it formed the
/// batch (sequence - 1). No copy of the batch can have a lower offset. A copy more than
/// windowOffsets past that is never folded; a producer whose last batch lies further back than
/// that can therefore be forgotten, because every batch that it has appended so far is too old.
class producer_window
{
public:
    /// About five minutes at 500 appends a second: longer than any call to the log stays on its
    /// way in ordinary operation. A batch that is late beyond it is formed anew by its producer.
    static constexpr std::uint64_t windowOffsets = 1U << 17U;

    struct last_batch
    {
        std::uint64_t sequence = 0;
        std::uint64_t offset = 0;

        bool operator==(const last_batch &) const = default;
    };
    using producer_map = std::unordered_map<std::uint64_t, last_batch>;

    /// True if a batch with this sequence is too late to be folded at \a offset.
    [[nodiscard]] static constexpr bool isStale(std::uint64_t sequence, std::uint64_t offset)
    {
        return offset + 1 > sequence && offset + 1 - sequence > windowOffsets;
    }

    /// Forgets producers whose batches are all too old. To be called for each batch of the stream
    /// before admit(). Returns true if it looked; that depends only on the offsets, so that all
    /// readers forget at the same batch.
    bool forgetOld(std::uint64_t offset);
    /// True if the batch is to be folded; it counts as seen afterwards. A batch with sequence 0 or
    /// too many records never is.
    bool admit(const stored_batch &stored);

    [[nodiscard]] bool contains(std::uint64_t producer) const
    {
        return m_producers.contains(producer);
    }
    [[nodiscard]] const producer_map &producers() const { return m_producers; }
    void restore(producer_map producers, std::uint64_t lastOffset);

private:
    producer_map m_producers;
    std::uint64_t m_lastOffset = 0;
};

} // namespace plantainpitch
