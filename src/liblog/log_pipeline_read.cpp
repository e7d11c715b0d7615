#include "plantainpitch/log/log_pipeline.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

void log_pipeline::startRead(instant now)
{
    m_readAgain = false;
    m_read = { .callId = ++m_lastCall,
               .fromOffset = m_nextOffset,
               .deadline = now + m_options.callTimeout };
    m_reads.push_back({ .callId = m_lastCall,
                        .stream = m_options.stream,
                        .fromOffset = m_nextOffset,
                        .maxBatches = m_options.maxReadBatches });
}

void log_pipeline::failRead(instant now)
{
    m_read.reset();
    m_readFailed = true;
    m_nextReadAt = now + backoff(++m_readFailures);
}

/// True if a read must not wait for the poll interval.
bool log_pipeline::wantsRead() const
{
    return m_readAgain || std::any_of(m_barriers.begin(), m_barriers.end(), [](const barrier &b) {
               return !b.target;
           });
}

void log_pipeline::onReadAnswer(instant now, const read_answer &answer)
{
    const auto late =
            std::find_if(m_timedOutReads.begin(), m_timedOutReads.end(),
                         [&](const read_in_flight &r) { return r.callId == answer.callId; });
    if (m_read && m_read->callId == answer.callId) {
        const read_in_flight call = *m_read;
        if (answer.ok && consume(call, answer)) {
            m_read.reset();
            m_readFailed = false;
            m_readFailures = 0;
            m_nextReadAt = now + m_options.pollInterval;
        } else {
            failRead(now);
        }
    } else if (late != m_timedOutReads.end()) {
        // A log whose answers are all late still makes progress.
        const read_in_flight call = *late;
        m_timedOutReads.erase(late);
        if (answer.ok)
            consume(call, answer);
    }
    pump(now);
}

/// Takes what is new in the answer. Returns false if the answer leaves records out.
bool log_pipeline::consume(const read_in_flight &call, const read_answer &answer)
{
    m_earliest = std::max(m_earliest, answer.earliest);
    m_logEnd = std::max(m_logEnd, answer.next);
    noteReadBegin(call.callId);
    if (m_earliest > m_nextOffset) {
        m_behindRetention = true;
        return true;
    }
    // resumeAt() went back after this call was made.
    if (call.fromOffset > m_nextOffset)
        return true;
    const std::uint64_t begin = m_nextOffset;
    for (const stored_batch &stored : answer.batches) {
        if (stored.offset < m_nextOffset)
            continue;
        if (stored.offset > m_nextOffset)
            return false;
        take(stored);
    }
    if (m_nextOffset >= answer.next)
        m_caughtUp = true;
    else if (m_nextOffset > begin)
        m_readAgain = true; // there is more than fits into one answer
    return true;
}

/// Sets the targets of what waits for a read that began late enough.
void log_pipeline::noteReadBegin(std::uint64_t callId)
{
    for (barrier &b : m_barriers) {
        if (!b.target && b.afterCall < callId)
            b.target = m_logEnd;
    }
    if (m_own && m_own->phase == append_phase::lost && !m_own->resendFrom
        && m_own->lostAfterCall < callId)
        m_own->resendFrom = m_logEnd;
}

void log_pipeline::take(stored_batch stored)
{
    read_batch batch{ .stored = {}, .tickets = settleOwn(stored) };
    m_nextOffset = stored.offset + 1;
    m_logEnd = std::max(m_logEnd, m_nextOffset);
    batch.stored = std::move(stored);
    m_batches.push_back(std::move(batch));
}

void log_pipeline::onPeerBatches(instant now, std::vector<stored_batch> batches)
{
    for (stored_batch &stored : batches) {
        if (stored.offset == m_nextOffset && !m_behindRetention)
            take(std::move(stored));
    }
    pump(now);
}

} // namespace plantainpitch
