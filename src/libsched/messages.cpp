#include "plantainpitch/sched/messages.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/job_limits.h"

#include <cmath>

namespace plantainpitch::sched {

namespace {

template <typename Table, typename Native>
std::string encode(const Native &value)
{
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(Table::Pack(builder, &value));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

template <typename Table>
typename Table::NativeTableType decode(std::string_view bytes, const char *what)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        throw error(error_kind::protocol_error, std::string("the bytes are not a ") + what,
                    "check that all processes run the same release");
    }
    typename Table::NativeTableType value;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&value);
    return value;
}

} // namespace

std::string encodeMessage(const message &content)
{
    return encode<fb::message>(content);
}

message decodeMessage(std::string_view bytes)
{
    message result = decode<fb::message>(bytes, "message");
    if (result.content.type == fb::content::NONE || !result.content.value) {
        throw error(error_kind::protocol_error, "the message has no content",
                    "check that all processes run the same release");
    }
    return result;
}

evacuations encodeEvacuations(const evacuation_list &list)
{
    evacuations content;
    content.asOf = list.asOf;
    content.dataCentres.assign(list.dataCentres.begin(), list.dataCentres.end());
    return content;
}

evacuation_list decodeEvacuations(const evacuations &content)
{
    return { .asOf = content.asOf,
             .dataCentres = { content.dataCentres.begin(), content.dataCentres.end() } };
}

std::string encodeSubmission(const submission &record)
{
    return encode<fb::submission>(record);
}

submission decodeSubmission(std::string_view bytes)
{
    submission result = decode<fb::submission>(bytes, "submission");
    if (!result.spec) {
        throw error(error_kind::protocol_error, "the submission has no job specification",
                    "check which process wrote the record");
    }
    checkJob(*result.spec);
    if (result.receivedMs < 0) {
        throw error(error_kind::protocol_error, "the submission was received before 1970",
                    "check which process wrote the record");
    }
    return result;
}

std::string encodeProgress(const progress &record)
{
    return encode<fb::progress>(record);
}

progress decodeProgress(std::string_view bytes)
{
    return decode<fb::progress>(bytes, "progress record");
}

queue_record toRecord(const queue_config &queue)
{
    queue_record record;
    record.name = queue.name;
    record.service = queue.service;
    record.priority = queue.priority;
    record.maxAttempts = queue.maxAttempts;
    record.stretch = queue.stretch;
    record.targetLatencyMs = queue.targetLatencyMs;
    record.needsTickets = queue.needsTickets;
    return record;
}

std::string encodeQueue(const queue_config &queue)
{
    return encode<fb::queue_record>(toRecord(queue));
}

queue_config decodeQueue(std::string_view bytes)
{
    return fromRecord(decode<fb::queue_record>(bytes, "queue record"));
}

queue_config fromRecord(const queue_record &record)
{
    if (record.name.empty() || record.maxAttempts == 0 || !std::isfinite(record.stretch)
        || record.stretch < 0) {
        throw error(error_kind::invalid_document, "the record's queue cannot run a job",
                    "check which process wrote the record");
    }
    return { .name = record.name,
             .service = record.service,
             .priority = record.priority,
             .maxAttempts = record.maxAttempts,
             .stretch = record.stretch,
             .targetLatencyMs = record.targetLatencyMs,
             .needsTickets = record.needsTickets };
}

std::string encodeMember(const member &record)
{
    return encode<fb::member>(record);
}

member decodeMember(std::string_view bytes)
{
    return decode<fb::member>(bytes, "member record");
}

} // namespace plantainpitch::sched
