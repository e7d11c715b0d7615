#pragma once

#include "plantainpitch/log/log_pipeline.h"

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plantainpitch::test {

/// One stream of the platform's log, in memory.
struct fake_log
{
    std::vector<record_batch> blobs;
    std::uint64_t earliest = 0;

    std::uint64_t append(const record_batch &batch)
    {
        blobs.push_back(batch);
        return blobs.size() - 1;
    }

    [[nodiscard]] read_answer read(const read_call &call) const
    {
        read_answer answer{ call.callId, call.stream, true, earliest, blobs.size(), {} };
        for (std::uint64_t o = std::max(call.fromOffset, earliest);
             o < blobs.size() && answer.batches.size() < call.maxBatches; ++o)
            answer.batches.push_back({ o, blobs[o] });
        return answer;
    }
};

/// A pipeline with its log and a clock; calls are answered by hand or by serve().
struct pipeline_fixture
{
    fake_log log;
    log_pipeline pipeline{ { .stream = "s", .producer = 1, .maxReadBatches = 4 }, 42 };
    instant now{ std::chrono::seconds(1) };
    std::vector<std::uint64_t> settled; ///< tickets
    std::vector<std::uint64_t> barriers; ///< completed
    std::vector<stored_batch> batches;

    void advance(int ms)
    {
        now += std::chrono::milliseconds(ms);
        pipeline.tick(now);
    }

    std::uint64_t submit(const std::string &job)
    {
        return pipeline.submit(now, job_cancelled{ .job = job }).value();
    }

    append_call takeAppend() { return pipeline.takeAppends().at(0); }
    read_call takeRead() { return pipeline.takeReads().at(0); }

    /// Submits a record when the stream is read to its end; the append of its batch.
    append_call appendOf(const std::string &job)
    {
        serve(50);
        submit(job);
        advance(100);
        return takeAppend();
    }

    void answer(const append_call &call, std::uint64_t offset)
    {
        pipeline.onAppendAnswer(now, { call.callId, call.stream, true, offset });
    }

    void fail(const append_call &call) { pipeline.onAppendAnswer(now, { call.callId, "s" }); }
    void fail(const read_call &call) { pipeline.onReadAnswer(now, { call.callId, "s" }); }

    void answer(const read_call &call)
    {
        pipeline.onReadAnswer(now, log.read(call));
        collect();
    }

    void collect()
    {
        for (const read_batch &batch : pipeline.takeBatches()) {
            settled.insert(settled.end(), batch.tickets.begin(), batch.tickets.end());
            batches.push_back(batch.stored);
        }
        for (const std::uint64_t id : pipeline.takeCompletedBarriers())
            barriers.push_back(id);
    }

    /// Lets the log answer everything at once for a while.
    void serve(int ms)
    {
        for (int passed = 0; passed < ms; passed += 10) {
            advance(10);
            for (int round = 0; round < 8; ++round) {
                for (const append_call &call : pipeline.takeAppends())
                    answer(call, log.append(call.batch));
                for (const read_call &call : pipeline.takeReads())
                    answer(call);
            }
        }
    }

    /// Lets time pass while calls stay unanswered; returns those made.
    template <class calls>
    calls unanswered(int ms, calls (log_pipeline::*take)())
    {
        calls made;
        for (int passed = 0; passed < ms; passed += 10) {
            advance(10);
            for (auto &call : (pipeline.*take)())
                made.push_back(call);
        }
        return made;
    }
};

} // namespace plantainpitch::test
