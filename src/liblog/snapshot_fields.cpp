#include "snapshot_fields.h"

namespace plantainpitch::detail {

void writeHead(byte_writer &out, std::uint64_t nextOffset)
{
    out.byte(snapshotVersion);
    out.number(nextOffset);
}

std::uint64_t readHead(byte_reader &in, std::uint64_t through)
{
    in.check(in.byte() == snapshotVersion, "unknown version");
    const std::uint64_t nextOffset = in.number();
    in.check(nextOffset == through + 1, "state does not end at the stated offset");
    return nextOffset;
}

void write(byte_writer &out, const producer_window &window)
{
    out.number(window.producers().size());
    for (const auto *entry : sorted(window.producers())) {
        out.number(entry->first);
        out.number(entry->second.sequence);
        out.number(entry->second.offset);
    }
}

void read(byte_reader &in, producer_window &window, std::uint64_t nextOffset)
{
    producer_window::producer_map producers;
    std::uint64_t last = 0;
    for (std::size_t left = in.count(); left > 0; --left) {
        const std::uint64_t producer = in.number();
        producer_window::last_batch batch;
        batch.sequence = in.number();
        batch.offset = in.number();
        in.check(batch.offset < nextOffset, "batch lies after the state");
        insertNext(in, producers, producer, batch, last);
    }
    window.restore(std::move(producers), nextOffset == 0 ? 0 : nextOffset - 1);
}

} // namespace plantainpitch::detail
