#include "plantainpitch/log/log_pipeline.h"

#include "plantainpitch/log/producer_window.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

bool log_pipeline::batchIsDue(instant now) const
{
    return !m_waiting.empty()
           && (m_waiting.size() >= m_options.maxBatchRecords
               || m_waitingBytes >= m_options.maxBatchBytes
               || now >= m_waiting.front().submitted + m_options.batchDelay);
}

void log_pipeline::formBatch(instant now)
{
    if (m_own || m_behindRetention || !batchIsDue(now))
        return;
    own_batch own;
    // The batch before was read below m_logEnd, so this sequence is higher than its sequence.
    own.batch.producer = m_options.producer;
    own.batch.sequence = m_logEnd + 1;
    std::size_t bytes = 0;
    while (!m_waiting.empty() && own.tickets.size() < m_options.maxBatchRecords) {
        waiting_record &next = m_waiting.front();
        if (!own.tickets.empty() && bytes + next.bytes > m_options.maxBatchBytes)
            break;
        bytes += next.bytes;
        m_waitingBytes -= next.bytes;
        own.tickets.push_back(next.ticket);
        own.batch.records.push_back(std::move(next.record));
        m_waiting.pop_front();
    }
    m_own = std::move(own);
    startAppend(now);
}

void log_pipeline::startAppend(instant now)
{
    m_own->phase = append_phase::calling;
    m_own->deadline = now + m_options.callTimeout;
    m_own->resendFrom.reset();
    m_own->calls.push_back(++m_lastCall);
    m_appends.push_back(
            { .callId = m_lastCall, .stream = m_options.stream, .batch = m_own->batch });
}

void log_pipeline::loseAppend(instant now)
{
    m_appendFailed = true;
    m_readAgain = true;
    m_own->phase = append_phase::lost;
    m_own->lostAfterCall = m_lastCall;
    m_own->resendFrom.reset();
    m_own->retryAt = now + backoff(++m_own->failures);
}

void log_pipeline::onAppendAnswer(instant now, const append_answer &answer)
{
    const bool isOwn = m_own
                       && std::find(m_own->calls.begin(), m_own->calls.end(), answer.callId)
                                  != m_own->calls.end();
    if (isOwn && answer.ok) {
        m_appendFailed = false;
        m_own->phase = append_phase::confirmed;
        m_own->resendFrom = answer.offset + 1;
        m_logEnd = std::max(m_logEnd, answer.offset + 1);
        m_readAgain = true;
    } else if (isOwn && m_own->phase == append_phase::calling
               && m_own->calls.back() == answer.callId) {
        loseAppend(now);
    }
    pump(now);
}

/// Appends the batch again if the reader went past the place where it had to be.
void log_pipeline::checkAppend(instant now)
{
    if (!m_own || m_own->phase == append_phase::calling || m_behindRetention)
        return;
    if (!m_own->resendFrom || m_nextOffset < *m_own->resendFrom)
        return;
    if (m_own->phase == append_phase::confirmed)
        loseAppend(now); // the log confirmed the batch, but does not have it
    else if (now >= m_own->retryAt)
        startAppend(now);
}

/// Returns the tickets if \a stored is the batch of this process that is not yet read back.
std::vector<std::uint64_t> log_pipeline::settleOwn(const stored_batch &stored)
{
    if (!m_own || stored.batch.producer != m_own->batch.producer
        || stored.batch.sequence != m_own->batch.sequence)
        return {};
    if (producer_window::isStale(stored.batch.sequence, stored.offset) && !m_own->mayBeSkipped) {
        // No fold takes this copy or a later one, and there was none before: the records go into
        // a batch with a new sequence.
        m_own->batch.sequence = std::max(m_logEnd, stored.offset + 1) + 1;
        m_own->calls.clear();
        m_own->phase = append_phase::lost;
        m_own->resendFrom = stored.offset + 1;
        return {};
    }
    std::vector<std::uint64_t> tickets = std::move(m_own->tickets);
    m_own.reset();
    m_appendFailed = false;
    return tickets;
}

} // namespace plantainpitch
