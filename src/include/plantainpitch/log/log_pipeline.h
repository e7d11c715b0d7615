#pragma once

#include "plantainpitch/log/append_answer.h"
#include "plantainpitch/log/append_call.h"
#include "plantainpitch/log/log_pipeline_options.h"
#include "plantainpitch/log/read_answer.h"
#include "plantainpitch/log/read_batch.h"
#include "plantainpitch/log/read_call.h"
#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace plantainpitch {

/// Appends records to one stream in batches and reads the stream back. Makes no call itself: the
/// owner takes the calls, makes them and reports the answers.
///
/// A submitted record is appended exactly once as seen by the folds: a batch whose answer was lost
/// is appended again under the same (producer, sequence), which the folds ignore if the first one
/// took effect.
class log_pipeline
{
public:
    log_pipeline(log_pipeline_options options, std::uint64_t seed);

    /// Accepts a record for appending; its ticket comes back in a read_batch once it was read from
    /// the log. Returns nothing if too many records wait: the record will not be appended.
    std::optional<std::uint64_t> submit(instant now, log_record record);

    /// Asks for a read that begins after now. The returned number comes back from
    /// takeCompletedBarriers() once all records that the log held at the begin of that read were
    /// handed out by takeBatches().
    std::uint64_t requestBarrier(instant now);

    void onAppendAnswer(instant now, const append_answer &answer);
    void onReadAnswer(instant now, const read_answer &answer);
    void tick(instant now);

    std::vector<append_call> takeAppends();
    std::vector<read_call> takeReads();
    /// Batches to fold, in offset order. Call before takeCompletedBarriers().
    std::vector<read_batch> takeBatches();
    std::vector<std::uint64_t> takeCompletedBarriers();

    /// Sets the next offset to read, after a snapshot was loaded from the log or from a peer.
    void resumeAt(std::uint64_t nextOffset);
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// True once the reader has reached the end of the stream since the start.
    [[nodiscard]] bool caughtUp() const;
    /// True if the last call failed or timed out.
    [[nodiscard]] bool unavailable() const;
    /// True if the next offset to read was already removed by retention; cleared by resumeAt().
    [[nodiscard]] bool behindRetention() const;
    [[nodiscard]] std::uint64_t earliestOffset() const;

private:
    log_pipeline_options m_options;
    std::mt19937_64 m_random;
};

} // namespace plantainpitch
