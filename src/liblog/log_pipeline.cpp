#include "plantainpitch/log/log_pipeline.h"

#include "plantainpitch/log/record_size.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainpitch {

log_pipeline::log_pipeline(log_pipeline_options options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
    m_options.maxBatchRecords =
            std::clamp<std::size_t>(m_options.maxBatchRecords, 1, log_position::maxBatchRecords);
}

std::optional<std::uint64_t> log_pipeline::submit(instant now, log_record record)
{
    const std::size_t inFlight = m_own ? m_own->tickets.size() : 0;
    if (m_waiting.size() + inFlight >= m_options.maxWaitingRecords)
        return std::nullopt;
    const std::uint64_t ticket = ++m_lastTicket;
    const std::size_t bytes = detail::approximateBytes(record);
    m_waitingBytes += bytes;
    m_waiting.push_back(
            { .ticket = ticket, .record = std::move(record), .bytes = bytes, .submitted = now });
    pump(now);
    return ticket;
}

std::uint64_t log_pipeline::requestBarrier(instant now)
{
    ++m_lastBarrier;
    if (!m_barriers.empty() && m_barriers.back().afterCall == m_lastCall
        && !m_barriers.back().target) {
        m_barriers.back().lastId = m_lastBarrier;
    } else {
        m_barriers.push_back({ .firstId = m_lastBarrier,
                               .lastId = m_lastBarrier,
                               .afterCall = m_lastCall,
                               .target = {} });
    }
    pump(now);
    return m_lastBarrier;
}

void log_pipeline::tick(instant now)
{
    if (m_own && m_own->phase == append_phase::calling && now >= m_own->deadline)
        loseAppend(now);
    if (m_read && now >= m_read->deadline) {
        m_timedOutReads.push_back(*m_read);
        // Older calls than these are given up.
        if (m_timedOutReads.size() > 16)
            m_timedOutReads.pop_front();
        failRead(now);
    }
    pump(now);
}

/// Starts whatever is due.
void log_pipeline::pump(instant now)
{
    checkAppend(now);
    formBatch(now);
    if (!m_read && (now >= m_nextReadAt || (wantsRead() && m_readFailures == 0)))
        startRead(now);
}

duration log_pipeline::backoff(std::uint32_t failures)
{
    duration longest = m_options.minBackoff;
    for (std::uint32_t i = 0; i < failures && longest < m_options.maxBackoff; ++i)
        longest *= 2;
    longest = std::min(longest, m_options.maxBackoff);
    // The jitter spreads the retries of entries that lost the log at the same time.
    const duration shortest = std::min(longest, std::max(longest / 2, m_options.minBackoff));
    std::uniform_int_distribution<std::int64_t> pick(shortest.count(), longest.count());
    return duration(pick(m_random));
}

std::vector<append_call> log_pipeline::takeAppends()
{
    return std::exchange(m_appends, {});
}

std::vector<read_call> log_pipeline::takeReads()
{
    return std::exchange(m_reads, {});
}

std::vector<read_batch> log_pipeline::takeBatches()
{
    return std::exchange(m_batches, {});
}

std::vector<std::uint64_t> log_pipeline::takeCompletedBarriers()
{
    const std::uint64_t handedOut =
            m_batches.empty() ? m_nextOffset : m_batches.front().stored.offset;
    std::vector<std::uint64_t> completed;
    std::erase_if(m_barriers, [&](const barrier &b) {
        const bool done = b.target && *b.target <= handedOut;
        for (std::uint64_t id = b.firstId; done && id <= b.lastId; ++id)
            completed.push_back(id);
        return done;
    });
    return completed;
}

void log_pipeline::resumeAt(std::uint64_t nextOffset)
{
    if (nextOffset < m_nextOffset || m_behindRetention)
        m_caughtUp = false;
    if (m_own && nextOffset > m_nextOffset)
        m_own->mayBeSkipped = true;
    m_behindRetention = false;
    m_nextOffset = nextOffset;
    m_logEnd = std::max(m_logEnd, nextOffset);
    m_readAgain = true;
}

std::uint64_t log_pipeline::nextOffset() const
{
    return m_nextOffset;
}

bool log_pipeline::caughtUp() const
{
    return m_caughtUp;
}

bool log_pipeline::unavailable() const
{
    return m_readFailed || m_appendFailed;
}

bool log_pipeline::behindRetention() const
{
    return m_behindRetention;
}

std::uint64_t log_pipeline::earliestOffset() const
{
    return m_earliest;
}

} // namespace plantainpitch
