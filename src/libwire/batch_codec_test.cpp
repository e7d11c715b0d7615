#include "plantainpitch/wire/batch_codec.h"

#include "plantainpitch/model/error.h"

#include "envelope.h"
#include "sample_values.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::wire;

namespace {

bool isProtocolError(const error &e)
{
    return e.kind() == error_kind::protocol_error;
}

std::string wrapBatch(flatbuffers::FlatBufferBuilder &builder,
                      const std::vector<flatbuffers::Offset<Record>> &records)
{
    builder.Finish(CreateRecordBatch(builder, 1, 1, builder.CreateVector(records)));
    return detail::wrap(builder, 1024UL * 1024);
}

} // namespace

// Guards against a field that is lost or swapped when a record is encoded and decoded.
BOOST_AUTO_TEST_CASE(everyRecordSurvivesARoundTrip)
{
    const record_batch batch{ .producer = 0xFFFF'FFFF'FFFF'FFFF,
                              .sequence = 9,
                              .records = test::sampleRecords() };
    BOOST_TEST(batch.records.size() == std::variant_size_v<log_record>);
    for (std::size_t i = 0; i < batch.records.size(); ++i)
        BOOST_TEST(batch.records[i].index() == i);
    BOOST_TEST((decodeBatch(encodeBatch(batch)) == batch));
    BOOST_TEST((decodeBatch(encodeBatch({})) == record_batch()));
}

// Guards against a truncated or corrupted batch in the log that crashes its readers or is decoded
// as valid.
BOOST_AUTO_TEST_CASE(damagedBatchesAreProtocolErrors)
{
    const std::string blob = encodeBatch({ .producer = 1, .records = test::sampleRecords() });
    for (std::size_t length = 0; length < blob.size(); ++length) {
        BOOST_CHECK_EXCEPTION(decodeBatch(std::string_view(blob).substr(0, length)), error,
                              isProtocolError);
    }
    for (std::size_t bit = 0; bit < blob.size() * 8; ++bit) {
        std::string damaged = blob;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
        BOOST_CHECK_EXCEPTION(decodeBatch(damaged), error, isProtocolError);
    }
}

// Guards against misreading a well-formed batch with record types or enumerators that only a newer
// or foreign writer knows.
BOOST_AUTO_TEST_CASE(unknownTypesAreProtocolErrors)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto job = CreateJobCancelled(builder, builder.CreateString("j"));
    const auto record = CreateRecord(builder, static_cast<RecordBody>(200), job.Union());
    BOOST_CHECK_EXCEPTION(decodeBatch(wrapBatch(builder, { record })), error, isProtocolError);

    builder.Clear();
    const auto task = CreateTaskId(builder, builder.CreateString("j"), 1);
    const auto release = CreateTaskReleased(builder, task, 1, 0, static_cast<ReleaseReason>(99));
    const auto badEnum = CreateRecord(builder, RecordBody::TaskReleased, release.Union());
    BOOST_CHECK_EXCEPTION(decodeBatch(wrapBatch(builder, { badEnum })), error, isProtocolError);
}

// Guards against a small batch that exhausts memory because its records refer to one large string.
BOOST_AUTO_TEST_CASE(sharedDataIsRefused)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto job = CreateJobCancelled(builder, builder.CreateString(std::string(10'000, 'x')));
    const auto record = CreateRecord(builder, RecordBody::JobCancelled, job.Union());
    const std::vector<flatbuffers::Offset<Record>> records(10'000, record);
    BOOST_CHECK_EXCEPTION(decodeBatch(wrapBatch(builder, records)), error, isProtocolError);
}
