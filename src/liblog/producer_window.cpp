#include "plantainpitch/log/producer_window.h"

#include <utility>

namespace plantainpitch {

namespace {

/// Offsets between two passes over the producers.
constexpr std::uint64_t forgetInterval = 4096;

} // namespace

bool producer_window::admit(const stored_batch &stored)
{
    const std::uint64_t sequence = stored.batch.sequence;
    // The positions of more records would overlap those of the next batch.
    const bool malformed =
            sequence == 0 || stored.batch.records.size() > log_position::maxBatchRecords;
    if (malformed || isStale(sequence, stored.offset))
        return false;
    last_batch &last = m_producers[stored.batch.producer];
    if (sequence <= last.sequence)
        return false;
    last = { .sequence = sequence, .offset = stored.offset };
    return true;
}

void producer_window::restore(producer_map producers, std::uint64_t lastOffset)
{
    m_producers = std::move(producers);
    m_lastOffset = lastOffset;
}

bool producer_window::forgetOld(std::uint64_t offset)
{
    const bool due = offset / forgetInterval != m_lastOffset / forgetInterval;
    m_lastOffset = offset;
    if (due) {
        std::erase_if(m_producers, [offset](const auto &entry) {
            return entry.second.offset + windowOffsets < offset;
        });
    }
    return due;
}

} // namespace plantainpitch
