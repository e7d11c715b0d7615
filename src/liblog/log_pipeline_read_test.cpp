#include "fake_log.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using plantainpitch::test::pipeline_fixture;

using ids = std::vector<std::uint64_t>;

static record_batch other(std::uint64_t sequence)
{
    return { 2, sequence, { job_cancelled{ .job = "x" } } };
}

// Guards against an authority that is confirmed by a read that began before it was asked for: a
// revocation appended in between would be missed.
BOOST_FIXTURE_TEST_CASE(barrierNeedsAReadThatBeganAfterIt, pipeline_fixture)
{
    advance(1);
    const read_call early = takeRead();
    const read_answer earlyAnswer = log.read(early);
    const std::uint64_t id = pipeline.requestBarrier(now);
    const std::uint64_t next = pipeline.requestBarrier(now);
    log.append(other(1));
    pipeline.onReadAnswer(now, earlyAnswer);
    collect();
    BOOST_TEST(barriers.empty());
    // The next read begins at once, not after the poll interval.
    const read_call after = takeRead();
    BOOST_TEST(after.callId > early.callId);
    answer(after);
    BOOST_TEST((barriers == ids{ id, next }));
    BOOST_TEST(batches.size() == 1U);
}

// Guards against a barrier that completes before all records of that time were handed out.
BOOST_FIXTURE_TEST_CASE(barrierWaitsForAllRecordsOfItsTime, pipeline_fixture)
{
    for (std::uint64_t i = 0; i < 10; ++i)
        log.append(other(i + 1));
    pipeline.requestBarrier(now);
    pipeline.onReadAnswer(now, log.read(takeRead()));
    BOOST_TEST(pipeline.takeCompletedBarriers().empty());
    collect();
    BOOST_TEST(barriers.empty()); // four of ten
    answer(takeRead());
    BOOST_TEST(barriers.empty());
    pipeline.onReadAnswer(now, log.read(takeRead()));
    BOOST_TEST(pipeline.takeCompletedBarriers().empty()); // read, but not handed out
    collect();
    BOOST_TEST(barriers.size() == 1U);
    BOOST_TEST(batches.size() == 10U);
    BOOST_TEST(pipeline.caughtUp());
}

// Guards against a barrier that completes from the late answer of a call made before it.
BOOST_FIXTURE_TEST_CASE(lateAnswerDoesNotCompleteALaterBarrier, pipeline_fixture)
{
    advance(1);
    const read_call early = takeRead();
    const read_answer earlyAnswer = log.read(early);
    advance(2000); // timeout
    log.append(other(1));
    pipeline.requestBarrier(now);
    pipeline.onReadAnswer(now, earlyAnswer);
    collect();
    BOOST_TEST(barriers.empty());
    advance(100);
    const read_call later = takeRead();
    fail(later);
    collect();
    BOOST_TEST(barriers.empty());
    serve(1000);
    BOOST_TEST(barriers.size() == 1U);
}

// Guards against batches that are handed out twice or out of order when answers are reordered,
// and against a reader that never gets on because every answer is late.
BOOST_FIXTURE_TEST_CASE(lateAnswersAreUsedInOrder, pipeline_fixture)
{
    for (std::uint64_t i = 0; i < 10; ++i)
        log.append(other(i + 1));
    const std::vector<read_call> calls = unanswered(5000, &log_pipeline::takeReads);
    BOOST_TEST_REQUIRE(calls.size() > 1U);
    answer(calls[0]);
    BOOST_TEST(batches.size() == 4U);
    answer(calls[0]); // duplicated
    answer(calls[1]);
    BOOST_TEST(batches.size() == 4U);
    for (const read_call &call : unanswered(5000, &log_pipeline::takeReads))
        answer(call);
    BOOST_TEST(batches.size() > 4U);
    for (std::size_t i = 0; i < batches.size(); ++i)
        BOOST_TEST(batches[i].offset == i);
}

// Guards against records that are skipped without notice.
BOOST_FIXTURE_TEST_CASE(answerWithAHoleIsNotTakenPastTheHole, pipeline_fixture)
{
    advance(1);
    const std::vector<stored_batch> hole{ { 0, other(1) }, { 2, other(2) } };
    pipeline.onReadAnswer(now, { takeRead().callId, "s", true, 0, 3, hole });
    collect();
    BOOST_TEST(pipeline.nextOffset() == 1U);
    BOOST_TEST(pipeline.unavailable());
    BOOST_TEST(!pipeline.caughtUp());
}

// Guards against a reader that goes on over records that retention removed.
BOOST_FIXTURE_TEST_CASE(retentionGapNeedsASnapshot, pipeline_fixture)
{
    log.append(other(1));
    serve(300);
    BOOST_TEST(pipeline.caughtUp());
    for (std::uint64_t i = 1; i < 20; ++i)
        log.append(other(i + 1));
    log.earliest = 10;
    serve(1000);
    submit("a");
    serve(1000);
    BOOST_TEST(pipeline.behindRetention());
    BOOST_TEST(pipeline.earliestOffset() == 10U);
    BOOST_TEST(pipeline.nextOffset() == 1U);
    BOOST_TEST(log.blobs.size() == 20U); // nothing is appended that could not be read back
    pipeline.resumeAt(15);
    BOOST_TEST(!pipeline.behindRetention());
    BOOST_TEST(!pipeline.caughtUp());
    serve(1000);
    BOOST_TEST(pipeline.caughtUp());
    BOOST_TEST(batches.at(1).offset == 15U);
    BOOST_TEST((settled == ids{ 1 }));
    // Going back to the records after an older snapshot hands them out again.
    pipeline.resumeAt(12);
    serve(1000);
    BOOST_TEST(batches.size() == 1U + 6 + 9);
    BOOST_TEST((settled == ids{ 1 }));
}

// Guards against an update that is late by the whole poll interval after an own append.
BOOST_FIXTURE_TEST_CASE(readFollowsAnAppendAtOnce, pipeline_fixture)
{
    const append_call call = appendOf("a");
    for (const read_call &poll : pipeline.takeReads())
        answer(poll);
    BOOST_TEST(pipeline.takeReads().empty());
    answer(call, log.append(call.batch));
    answer(takeRead());
    BOOST_TEST((settled == ids{ 1 }));
}

// Guards against a submitter that waits for ever, or a second effect, when the batch lies in the
// part of the stream that was skipped with a snapshot.
BOOST_FIXTURE_TEST_CASE(batchInASkippedPartIsRepeatedUnderItsSequence, pipeline_fixture)
{
    const append_call call = appendOf("a");
    log.append(call.batch);
    fail(call);
    for (std::uint64_t i = 1; i < 6; ++i)
        log.append(other(i));
    log.earliest = 3;
    serve(1000);
    BOOST_TEST(pipeline.behindRetention());
    pipeline.resumeAt(4);
    serve(5000);
    BOOST_TEST((settled == ids{ 1 }));
    BOOST_TEST((log.blobs.back() == call.batch));
}
