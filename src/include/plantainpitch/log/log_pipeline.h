#pragma once

#include "plantainpitch/log/append_answer.h"
#include "plantainpitch/log/append_call.h"
#include "plantainpitch/log/log_pipeline_options.h"
#include "plantainpitch/log/read_answer.h"
#include "plantainpitch/log/read_batch.h"
#include "plantainpitch/log/read_call.h"
#include "plantainpitch/model/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
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

    /// Takes batches that a peer entry has read from the log as if they had been read here. Those
    /// before nextOffset() and those after a gap are ignored.
    void onPeerBatches(instant now, std::vector<stored_batch> batches);

    /// Sets the next offset to read, after a snapshot was loaded from the log or from a peer. May
    /// also go back, to fold the records after a snapshot that was found further on.
    void resumeAt(std::uint64_t nextOffset);
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// True once the reader has reached the end of the stream since the start, or since resumeAt()
    /// went back or left a removed offset.
    [[nodiscard]] bool caughtUp() const;
    /// True if the last call failed or timed out.
    [[nodiscard]] bool unavailable() const;
    /// True if the next offset to read was already removed by retention; cleared by resumeAt().
    [[nodiscard]] bool behindRetention() const;
    [[nodiscard]] std::uint64_t earliestOffset() const;

private:
    struct waiting_record
    {
        std::uint64_t ticket = 0;
        log_record record;
        std::size_t bytes = 0;
        instant submitted;
    };

    enum class append_phase {
        calling, ///< an append call is in flight
        confirmed, ///< the log answered; the batch is not read back yet
        lost, ///< the call failed or timed out; it may have taken effect
    };

    /// The batch that was appended and not yet read back.
    struct own_batch
    {
        record_batch batch;
        std::vector<std::uint64_t> tickets;
        std::vector<std::uint64_t> calls; ///< append calls made for this sequence
        append_phase phase = append_phase::calling;
        instant deadline; ///< of the last call
        instant retryAt;
        /// Appended again only once the reader has passed this offset without seeing the batch.
        std::optional<std::uint64_t> resendFrom;
        std::uint64_t lostAfterCall = 0; ///< a later read call tells whether the batch is there
        std::uint32_t failures = 0;
        /// resumeAt() skipped offsets at which a copy of the batch may lie.
        bool mayBeSkipped = false;
    };

    struct read_in_flight
    {
        std::uint64_t callId = 0;
        std::uint64_t fromOffset = 0;
        instant deadline;
    };

    /// Barriers that wait for the same read. One entry for all of them bounds the memory and the
    /// time for a read while agents ask for their authority throughout an outage of the log.
    struct barrier
    {
        std::uint64_t firstId = 0;
        std::uint64_t lastId = 0;
        std::uint64_t afterCall = 0; ///< read calls up to this one began too early
        std::optional<std::uint64_t> target; ///< offset that the reader must reach
    };

    void pump(instant now);
    duration backoff(std::uint32_t failures);

    void formBatch(instant now);
    [[nodiscard]] bool batchIsDue(instant now) const;
    void startAppend(instant now);
    void loseAppend(instant now);
    void checkAppend(instant now);

    void startRead(instant now);
    void failRead(instant now);
    bool consume(const read_in_flight &call, const read_answer &answer);
    void noteReadBegin(std::uint64_t callId);
    [[nodiscard]] bool wantsRead() const;
    void take(stored_batch stored);
    std::vector<std::uint64_t> settleOwn(const stored_batch &stored);

    log_pipeline_options m_options;
    std::mt19937_64 m_random;

    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastBarrier = 0;

    std::deque<waiting_record> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::optional<own_batch> m_own;

    std::optional<read_in_flight> m_read;
    std::deque<read_in_flight> m_timedOutReads; ///< their answers are used if they come late
    instant m_nextReadAt = instant::min();
    std::uint32_t m_readFailures = 0;
    bool m_readAgain = false; ///< something happened in the log after the current read began
    bool m_readFailed = false;
    bool m_appendFailed = false;

    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_logEnd = 0; ///< highest end of the stream that is known
    std::uint64_t m_earliest = 0;
    bool m_caughtUp = false;
    bool m_behindRetention = false;

    std::vector<append_call> m_appends;
    std::vector<read_call> m_reads;
    std::vector<read_batch> m_batches;
    std::deque<barrier> m_barriers;
};

} // namespace plantainpitch
