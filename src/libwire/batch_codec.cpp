#include "plantainpitch/wire/batch_codec.h"

#include "plantainpitch/wire/frame_limits.h"

#include "envelope.h"
#include "record_tables.h"

namespace plantainpitch::wire {

std::string encodeBatch(const record_batch &batch)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(detail::write(builder, batch));
    return detail::wrap(builder, maxBatchBytes);
}

record_batch decodeBatch(std::string_view blob)
{
    std::size_t payloadBytes = 0;
    const auto aligned = detail::unwrap(blob, maxBatchBytes, payloadBytes);
    detail::field_reader in(payloadBytes);
    return detail::read(in, detail::verifiedRoot<RecordBatch>(aligned, payloadBytes));
}

} // namespace plantainpitch::wire
