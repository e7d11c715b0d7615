#include "capacity_log.h"

#include "plantainpitch/wire/batch_codec.h"

#include <utility>

namespace plantainpitch {

append_answer capacity_log::append(const append_call &call)
{
    auto &batches = m_streams[call.stream];
    batches.push_back(call.batch);
    ++m_appends;
    m_appendedBytes += wire::encodeBatch(call.batch).size();
    return {
        .callId = call.callId, .stream = call.stream, .ok = true, .offset = batches.size() - 1
    };
}

void capacity_log::appendForeign(const std::string &stream, std::vector<log_record> records)
{
    constexpr std::uint64_t foreignProducer = 0xf0;
    auto &batches = m_streams[stream];
    batches.push_back({ .producer = foreignProducer,
                        .sequence = batches.size() + 1,
                        .records = std::move(records) });
}

read_answer capacity_log::read(const read_call &call) const
{
    read_answer answer{ .callId = call.callId, .stream = call.stream, .ok = true };
    const auto found = m_streams.find(call.stream);
    if (found == m_streams.end())
        return answer;
    answer.next = found->second.size();
    for (std::uint64_t offset = call.fromOffset;
         offset < answer.next && answer.batches.size() < call.maxBatches; ++offset)
        answer.batches.push_back({ .offset = offset, .batch = found->second[offset] });
    return answer;
}

} // namespace plantainpitch
