#include "fake_log.h"

#include "plantainpitch/log/producer_window.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <random>

using namespace plantainpitch;
using plantainpitch::test::fake_log;

namespace {

/// A log whose calls and answers are delayed, lost, reordered and refused.
struct faulty_run
{
    std::mt19937_64 random;
    fake_log log;
    std::vector<log_pipeline> pipelines;
    instant now{ std::chrono::seconds(1) };
    std::multimap<instant, std::function<void()>> pending;
    bool faults = true;

    /// What a reader of pipeline 0 sees.
    producer_window window;
    std::map<std::string, int> folded;
    std::map<std::uint64_t, std::string> submitted; ///< by ticket of pipeline 0
    std::map<std::uint64_t, int> settled; ///< by ticket of pipeline 0
    std::map<std::uint64_t, std::uint64_t> barrierEnds; ///< end of the log at the request
    std::uint64_t handedOut = 0;

    explicit faulty_run(std::uint64_t seed)
        : random(seed)
    {
        for (const std::uint64_t producer : { 1, 2 }) {
            log_pipeline_options options{ .stream = "s",
                                          .producer = producer,
                                          .maxBatchRecords = 7 };
            options.maxReadBatches = 3;
            pipelines.emplace_back(options, seed + producer);
        }
    }

    bool chance(int percent) { return faults && random() % 100 < std::uint64_t(percent); }
    instant later()
    {
        const std::uint64_t most = !faults ? 1 : random() % 20 == 0 ? 9000 : 60;
        return now + std::chrono::milliseconds(1 + random() % most);
    }

    void append(log_pipeline &pipeline, const append_call &call)
    {
        if (chance(10)) // lost on its way
            return;
        pending.emplace(later(), [this, &pipeline, call] {
            append_answer answer{ .callId = call.callId, .stream = call.stream };
            if (!chance(10)) {
                answer.ok = true;
                answer.offset = log.append(call.batch);
            }
            if (chance(5))
                log.append(call.batch); // duplicated by the network
            if (!chance(15))
                pending.emplace(later(), [this, &pipeline, answer] {
                    pipeline.onAppendAnswer(now, answer);
                });
        });
    }

    void read(log_pipeline &pipeline, const read_call &call)
    {
        if (chance(10))
            return;
        pending.emplace(later(), [this, &pipeline, call] {
            read_answer answer = log.read(call);
            if (chance(10))
                answer = { .callId = call.callId, .stream = call.stream };
            if (!chance(10))
                pending.emplace(later(),
                                [this, &pipeline, answer] { pipeline.onReadAnswer(now, answer); });
        });
    }

    void collect()
    {
        pipelines[1].takeBatches();
        for (const read_batch &batch : pipelines[0].takeBatches()) {
            BOOST_TEST_REQUIRE(batch.stored.offset == handedOut);
            ++handedOut;
            window.forgetOld(batch.stored.offset);
            const bool admitted = window.admit(batch.stored);
            BOOST_TEST_REQUIRE((batch.tickets.empty() || admitted));
            for (std::size_t i = 0; i < batch.stored.batch.records.size(); ++i) {
                const std::string &job = std::get<job_cancelled>(batch.stored.batch.records[i]).job;
                folded[job] += admitted ? 1 : 0;
                if (!batch.tickets.empty()) {
                    ++settled[batch.tickets[i]];
                    BOOST_TEST_REQUIRE(submitted.at(batch.tickets[i]) == job);
                }
            }
        }
        for (const std::uint64_t id : pipelines[0].takeCompletedBarriers()) {
            BOOST_TEST_REQUIRE(handedOut >= barrierEnds.at(id));
            barrierEnds.erase(id);
        }
    }

    void step()
    {
        now += std::chrono::milliseconds(10);
        while (!pending.empty() && pending.begin()->first <= now) {
            const auto deliver = pending.extract(pending.begin()).mapped();
            deliver();
        }
        for (log_pipeline &pipeline : pipelines) {
            pipeline.tick(now);
            for (const append_call &call : pipeline.takeAppends())
                append(pipeline, call);
            for (const read_call &call : pipeline.takeReads())
                read(pipeline, call);
        }
        collect();
    }

    void work(int i)
    {
        const std::string job = std::to_string(i);
        const auto ticket = pipelines[i % 2].submit(now, job_cancelled{ .job = job });
        if (i % 2 == 0)
            submitted[*ticket] = job;
        if (i % 5 == 0)
            barrierEnds[pipelines[0].requestBarrier(now)] = log.blobs.size();
    }
};

} // namespace

// Guards against records that are lost or folded twice, tickets that are answered twice or with a
// repeat, and barriers that complete early, under any mix of faults of the log.
BOOST_AUTO_TEST_CASE(everyRecordIsFoldedOnceUnderFaults)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            faulty_run run(seed);
            int records = 0;
            for (int i = 0; i < 3000; ++i) {
                if (i % 10 == 0)
                    run.work(records++);
                run.step();
            }
            run.faults = false;
            for (int i = 0; i < 3000; ++i)
                run.step();
            BOOST_TEST(run.folded.size() == std::size_t(records));
            for (const auto &[job, times] : run.folded)
                BOOST_TEST_REQUIRE(times == 1);
            BOOST_TEST(run.settled.size() == run.submitted.size());
            for (const auto &[ticket, times] : run.settled)
                BOOST_TEST_REQUIRE(times == 1);
            BOOST_TEST(run.barrierEnds.empty());
        }
    }
}
