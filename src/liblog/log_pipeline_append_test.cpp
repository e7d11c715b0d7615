#include "fake_log.h"
#include "test_batch.h"

#include "plantainpitch/log/producer_window.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using plantainpitch::test::pipeline_fixture;

using tickets = std::vector<std::uint64_t>;

// Guards against more appends than the log takes: records of 100 ms share one, and only one call
// is in flight.
BOOST_FIXTURE_TEST_CASE(recordsAreBatchedWithOneAppendInFlight, pipeline_fixture)
{
    serve(50);
    submit("a");
    advance(90);
    submit("b");
    BOOST_TEST(pipeline.takeAppends().empty());
    advance(10);
    const append_call call = takeAppend();
    BOOST_TEST(call.batch.records.size() == 2U);
    for (int i = 0; i < 600; ++i)
        submit("c" + std::to_string(i));
    advance(200);
    BOOST_TEST(pipeline.takeAppends().empty());
    answer(call, log.append(call.batch));
    BOOST_TEST(settled.empty());
    BOOST_TEST(pipeline.takeAppends().empty());
    answer(takeRead());
    BOOST_TEST((settled == tickets{ 1, 2 }));
    // A full batch does not wait, and the rest goes after it.
    BOOST_TEST(takeAppend().batch.records.size() == 500U);
}

// Guards against batches that the log refuses for their size.
BOOST_FIXTURE_TEST_CASE(batchesAreBoundedInBytes, pipeline_fixture)
{
    for (int i = 0; i < 5; ++i)
        pipeline.submit(now, snapshot_part{ .data = std::string(65'536, 'x') });
    const append_call call = takeAppend();
    BOOST_TEST(call.batch.records.size() == 3U);
}

// Guards against memory that grows while the log is down.
BOOST_AUTO_TEST_CASE(submitRefusesMoreThanTheLimit)
{
    log_pipeline pipeline({ .stream = "s", .producer = 1, .maxWaitingRecords = 2 }, 1);
    BOOST_TEST(pipeline.submit({}, job_cancelled{}).has_value());
    BOOST_TEST(pipeline.submit({}, job_cancelled{}).has_value());
    BOOST_TEST(!pipeline.submit({}, job_cancelled{}).has_value());
}

// Guards against a second effect of records whose append answer was lost.
BOOST_FIXTURE_TEST_CASE(lostAnswerAfterEffectIsSettledByReading, pipeline_fixture)
{
    submit("a");
    advance(100);
    const append_call call = takeAppend();
    log.append(call.batch);
    fail(call);
    BOOST_TEST(pipeline.unavailable());
    serve(5000);
    BOOST_TEST((settled == tickets{ 1 }));
    BOOST_TEST(log.blobs.size() == 1U);
    BOOST_TEST(!pipeline.unavailable());
}

// Guards against records that are lost, or that get a second identity, when an append had no
// effect.
BOOST_FIXTURE_TEST_CASE(batchThatIsNotInTheLogIsAppendedAgainUnderItsSequence, pipeline_fixture)
{
    const append_call call = appendOf("a");
    fail(call);
    // Without a read that began after the failure, the batch may be in the log.
    BOOST_TEST(unanswered(3000, &log_pipeline::takeAppends).empty());
    serve(4000);
    BOOST_TEST((settled == tickets{ 1 }));
    BOOST_TEST(log.blobs.size() == 1U);
    BOOST_TEST((log.blobs.at(0) == call.batch));
}

// Guards against tickets that are answered twice when the first copy arrives after the resend.
BOOST_FIXTURE_TEST_CASE(lateFirstCopyIsNotSettledTwice, pipeline_fixture)
{
    const append_call call = appendOf("a");
    advance(2000); // timeout
    BOOST_TEST(pipeline.unavailable());
    serve(4000);
    BOOST_TEST((settled == tickets{ 1 }));
    log.append(call.batch);
    answer(call, 1);
    submit("b");
    serve(1000);
    BOOST_TEST((settled == tickets{ 1, 2 }));
    BOOST_TEST(log.blobs.size() == 3U);
    BOOST_TEST(log.blobs.at(2).sequence > call.batch.sequence);
}

// Guards against a resend while the answer, though late, says that the batch is in the log.
BOOST_FIXTURE_TEST_CASE(lateAnswerOfATimedOutAppendCounts, pipeline_fixture)
{
    const append_call call = appendOf("a");
    advance(2000);
    answer(call, log.append(call.batch));
    BOOST_TEST(!pipeline.unavailable());
    serve(4000);
    BOOST_TEST((settled == tickets{ 1 }));
    BOOST_TEST(log.blobs.size() == 1U);
}

// Guards against a flood of calls to a log that is down, and against entries that retry in step.
BOOST_AUTO_TEST_CASE(callsBackOffWithJitterInAnOutage)
{
    std::vector<std::vector<instant>> times;
    for (const std::uint64_t seed : { 1, 2 }) {
        log_pipeline pipeline({ .stream = "s", .producer = seed }, seed);
        times.emplace_back();
        for (instant now{ std::chrono::seconds(1) }; now < instant(std::chrono::seconds(31));
             now += std::chrono::milliseconds(5)) {
            pipeline.tick(now);
            for (const read_call &call : pipeline.takeReads()) {
                times.back().push_back(now);
                pipeline.onReadAnswer(now, { .callId = call.callId });
            }
            BOOST_TEST(pipeline.takeReads().empty());
        }
        BOOST_TEST(times.back().size() > 15U);
        BOOST_TEST(times.back().size() < 50U);
        for (std::size_t i = 1; i < times.back().size(); ++i)
            BOOST_TEST((times.back()[i] - times.back()[i - 1] <= std::chrono::milliseconds(2010)));
    }
    BOOST_TEST((times[0] != times[1]));
}

// Guards against records that are dropped, or folded by some readers only, because their batch
// reached the log beyond the window of the folds.
BOOST_FIXTURE_TEST_CASE(batchThatArrivesBeyondTheWindowIsFormedAnew, pipeline_fixture)
{
    const append_call call = appendOf("a");
    BOOST_TEST(call.batch.sequence == 1U);
    std::vector<stored_batch> others;
    const std::uint64_t at = producer_window::windowOffsets + 1;
    for (std::uint64_t offset = 0; offset < at; ++offset)
        others.push_back(test::batchAt(offset, {}, 2));
    others.push_back({ at, call.batch });
    pipeline.onPeerBatches(now, others);
    collect();
    BOOST_TEST(settled.empty());
    advance(10);
    const append_call again = takeAppend();
    BOOST_TEST((again.batch.records == call.batch.records));
    BOOST_TEST(again.batch.sequence == at + 2);
    pipeline.onPeerBatches(now, { { at + 1, again.batch } });
    collect();
    BOOST_TEST((settled == tickets{ 1 }));
}
