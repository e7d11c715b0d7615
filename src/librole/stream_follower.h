#pragma once

#include "plantainpitch/log/fold_result.h"
#include "plantainpitch/log/log_pipeline.h"
#include "plantainpitch/log/record_size.h"
#include "plantainpitch/log/snapshot_reader.h"
#include "plantainpitch/log/snapshot_writer.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/message/peer_pull.h"
#include "plantainpitch/role/message/peer_records.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::detail {

/// Limit of the recent records that an entry keeps for peers; older ones are sent as a snapshot.
constexpr std::size_t maxTailRecords = 50'000;

/// Stays below the frame limit of 1 MB for messages between processes.
constexpr std::size_t maxPeerMessageBytes = 512UL * 1024;

/// Reads a log stream and folds it into \a State, which is config_state or cell_state.
template <typename State>
class stream_follower
{
public:
    /// Called for each folded record; the ticket is set if this process submitted the record.
    using record_callback = std::function<void(const log_record &, const fold_result &,
                                               std::optional<std::uint64_t>)>;

    stream_follower(log_pipeline_options options, std::uint64_t seed)
        : m_stream(options.stream)
        , m_pipeline(options, seed)
    {}

    std::optional<std::uint64_t> submit(instant now, log_record record)
    {
        return m_pipeline.submit(now, std::move(record));
    }

    void onAppendAnswer(instant now, const append_answer &answer)
    {
        m_pipeline.onAppendAnswer(now, answer);
    }

    void onReadAnswer(instant now, const read_answer &answer)
    {
        m_pipeline.onReadAnswer(now, answer);
    }

    void tick(instant now) { m_pipeline.tick(now); }

    void takeCalls(action_list &actions)
    {
        for (append_call &call : m_pipeline.takeAppends())
            actions.emplace_back(std::move(call));
        for (read_call &call : m_pipeline.takeReads())
            actions.emplace_back(std::move(call));
    }

    /// Folds all batches read so far. Returns true if a snapshot replaced the state.
    bool fold(const record_callback &onRecord)
    {
        if (m_pipeline.behindRetention())
            startSnapshotRecovery();
        bool reset = false;
        for (read_batch &batch : m_pipeline.takeBatches()) {
            if (m_awaitingSnapshot)
                reset = bufferUntilSnapshot(std::move(batch), onRecord) || reset;
            else
                foldBatch(batch, onRecord);
        }
        return reset;
    }

    /// True if the state has caught up with the log at least once since the start and has no gap.
    [[nodiscard]] bool complete() const
    {
        return !m_awaitingSnapshot && (m_pipeline.caughtUp() || m_loadedFromPeer);
    }

    [[nodiscard]] bool unavailable() const { return m_pipeline.unavailable(); }
    [[nodiscard]] const State &state() const { return m_state; }
    [[nodiscard]] const std::string &stream() const { return m_stream; }
    [[nodiscard]] std::uint64_t recordsSinceSnapshot() const { return m_recordsSinceSnapshot; }

    /// Appends a snapshot of the state to the log, as one record per part.
    void submitSnapshot(instant now)
    {
        if (m_state.nextOffset() == 0)
            return;
        snapshot_writer writer(m_state.nextOffset() - 1, m_state.saveSnapshot());
        while (!writer.done())
            m_pipeline.submit(now, writer.next());
        m_recordsSinceSnapshot = 0;
    }

    /// Answers a peer's pull: the batches since its offset, or a snapshot, one part per message, if
    /// those batches are no longer kept. Batches beyond the size limit are left for the next pull.
    [[nodiscard]] std::vector<peer_records> makePeerRecords(const peer_pull &pull) const
    {
        if (pull.fromOffset < m_tailFrom)
            return makePeerSnapshot();
        peer_records result{ .stream = m_stream };
        std::size_t bytes = 0;
        for (const stored_batch &stored : m_tail) {
            if (stored.offset < pull.fromOffset)
                continue;
            for (const log_record &record : stored.batch.records)
                bytes += detail::approximateBytes(record);
            if (bytes > maxPeerMessageBytes && !result.batches.empty())
                break;
            result.batches.push_back(stored);
        }
        return { result };
    }

    /// Accepts batches or a snapshot that a peer has read beyond this process. Returns true if a
    /// snapshot replaced the state; batches are folded by the next fold().
    bool applyPeerRecords(instant now, const peer_records &records)
    {
        if (!records.hasSnapshot) {
            if (!m_awaitingSnapshot)
                m_pipeline.onPeerBatches(now, records.batches);
            return false;
        }
        for (const stored_batch &stored : records.batches) {
            for (const log_record &record : stored.batch.records) {
                if (const auto *part = std::get_if<snapshot_part>(&record))
                    m_peerSnapshots.add(*part);
            }
        }
        const snapshot *complete = m_peerSnapshots.newest();
        if (!complete || complete->through < m_state.nextOffset())
            return false;
        m_state.loadSnapshot(complete->data, complete->through);
        m_peerSnapshots = snapshot_reader();
        m_awaitingSnapshot = false;
        restartTail();
        m_pipeline.resumeAt(m_state.nextOffset());
        return true;
    }

    /// A ready peer has read all batches before offset \a nextOffset.
    void onPeerNextOffset(std::uint64_t nextOffset)
    {
        if (unavailable() && !m_awaitingSnapshot && nextOffset > 0
            && m_state.nextOffset() >= nextOffset)
            m_loadedFromPeer = true;
    }

private:
    void startSnapshotRecovery()
    {
        m_awaitingSnapshot = true;
        m_snapshots = snapshot_reader();
        m_bufferedBatches.clear();
        m_pipeline.resumeAt(m_pipeline.earliestOffset());
    }

    /// Buffers batches until a complete snapshot arrives that they continue without a gap.
    bool bufferUntilSnapshot(read_batch batch, const record_callback &onRecord)
    {
        for (const log_record &record : batch.stored.batch.records) {
            if (const auto *part = std::get_if<snapshot_part>(&record))
                m_snapshots.add(*part);
        }
        m_bufferedBatches.push_back(std::move(batch));
        const snapshot *snapshot = m_snapshots.newest();
        if (!snapshot || snapshot->through + 1 < m_bufferedBatches.front().stored.offset
            || snapshot->through + 1 < m_state.nextOffset())
            return false;
        m_state.loadSnapshot(snapshot->data, snapshot->through);
        m_awaitingSnapshot = false;
        restartTail();
        for (const read_batch &item : std::exchange(m_bufferedBatches, {}))
            foldBatch(item, onRecord);
        return true;
    }

    void foldBatch(const read_batch &batch, const record_callback &onRecord)
    {
        const std::vector<fold_result> results = m_state.apply(batch.stored);
        if (batch.stored.offset + 1 > m_tailNext)
            appendToTail(batch.stored);
        const auto &records = batch.stored.batch.records;
        for (std::size_t i = 0; i < records.size(); ++i) {
            const auto ticket = i < batch.tickets.size()
                                        ? std::optional<std::uint64_t>(batch.tickets[i])
                                        : std::nullopt;
            if (i < results.size())
                onRecord(records[i], results[i], ticket);
            else if (ticket)
                onRecord(records[i], alreadyFoldedResult(batch, i), ticket);
        }
        updateRecordsSinceSnapshot(records);
    }

    [[nodiscard]] std::vector<peer_records> makePeerSnapshot() const
    {
        std::vector<peer_records> result;
        const std::uint64_t through = m_state.nextOffset() - 1;
        for (snapshot_writer writer(through, m_state.saveSnapshot()); !writer.done();) {
            stored_batch partBatch{ .offset = through, .batch = {} };
            partBatch.batch.records.emplace_back(writer.next());
            result.push_back({ .stream = m_stream,
                               .hasSnapshot = true,
                               .batches = { std::move(partBatch) } });
        }
        return result;
    }

    static fold_result alreadyFoldedResult(const read_batch &batch, std::size_t index)
    {
        return { .position = log_position::of(batch.stored.offset, index),
                 .accepted = false,
                 .reason = "the batch was already folded",
                 .current = {} };
    }

    void updateRecordsSinceSnapshot(const std::vector<log_record> &records)
    {
        for (const log_record &record : records) {
            const auto *part = std::get_if<snapshot_part>(&record);
            if (!part)
                ++m_recordsSinceSnapshot;
            else if (part->part + 1 == part->parts)
                m_recordsSinceSnapshot = 0;
        }
    }

    void appendToTail(const stored_batch &stored)
    {
        m_tailNext = stored.offset + 1;
        m_tailRecords += stored.batch.records.size();
        m_tail.push_back(stored);
        while (m_tailRecords > maxTailRecords) {
            m_tailRecords -= m_tail.front().batch.records.size();
            m_tailFrom = m_tail.front().offset + 1;
            m_tail.pop_front();
        }
    }

    void restartTail()
    {
        m_tail.clear();
        m_tailRecords = 0;
        m_tailFrom = m_state.nextOffset();
        m_tailNext = m_state.nextOffset();
    }

    std::string m_stream;
    log_pipeline m_pipeline;
    State m_state;
    bool m_awaitingSnapshot = false;
    bool m_loadedFromPeer = false;
    snapshot_reader m_snapshots;
    snapshot_reader m_peerSnapshots;
    std::vector<read_batch> m_bufferedBatches;
    std::deque<stored_batch> m_tail;
    std::size_t m_tailRecords = 0;
    std::uint64_t m_tailFrom = 0;
    std::uint64_t m_tailNext = 0;
    std::uint64_t m_recordsSinceSnapshot = 0;
};

} // namespace plantainpitch::detail
