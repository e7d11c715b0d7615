#include "plantainpitch/wire/message_codec.h"

#include "plantainpitch/wire/frame_limits.h"

#include "envelope.h"
#include "message_tables.h"

namespace plantainpitch::wire {

std::string encodeFrame(const message &content)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(detail::write(builder, content));
    return detail::wrap(builder, maxFrameBytes);
}

message decodeFrame(std::string_view frame)
{
    std::size_t payloadBytes = 0;
    const auto aligned = detail::unwrap(frame, maxFrameBytes, payloadBytes);
    detail::field_reader in(payloadBytes);
    return detail::read(in, detail::verifiedRoot<Message>(aligned, payloadBytes));
}

} // namespace plantainpitch::wire
