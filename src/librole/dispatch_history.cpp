#include "dispatch_history.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::detail {

namespace {

/// Watermarks that have not been raised for this long are removed: the entry is assumed to have
/// exited. Callers' deadlines are far shorter, and a connection does not outlive its process.
constexpr duration watermarkMaxAge = std::chrono::hours(1);

} // namespace

dispatch_history::dispatch_history(std::size_t limit, std::size_t byteLimit, duration maxAge)
    : m_limit(limit)
    , m_byteLimit(byteLimit)
    , m_maxAge(maxAge)
{}

void dispatch_history::add(instant now, const attempt_key &key, past_dispatch value)
{
    const std::size_t bytes = value.storedAnswer ? value.storedAnswer->content.body.size() : 0;
    const bool hasAnswer = value.storedAnswer.has_value();
    if (!m_dispatches.emplace(key, std::move(value)).second)
        return;
    m_insertionOrder.push_back({ .addedAt = now, .key = key });
    if (hasAnswer) {
        m_withStoredAnswer.push_back(key);
        m_bytes += bytes;
    }
    dropStoredAnswers();
    while (m_dispatches.size() > m_limit)
        evictOldest(now);
}

const past_dispatch *dispatch_history::find(const attempt_key &key) const
{
    const auto found = m_dispatches.find(key);
    return found == m_dispatches.end() ? nullptr : &found->second;
}

bool dispatch_history::isCancelled(const attempt_key &key) const
{
    for (auto it = m_dispatches.lower_bound(key);
         it != m_dispatches.end() && it->first.id == key.id; ++it) {
        if (it->second.refused == refusal_reason::cancelled)
            return true;
    }
    return false;
}

bool dispatch_history::hasRun(const request_id &id) const
{
    for (auto it = m_dispatches.lower_bound({ .id = id, .attempt = 0 });
         it != m_dispatches.end() && it->first.id == id; ++it) {
        const auto &refused = it->second.refused;
        if (!refused || !provesNotRun(*refused))
            return true;
    }
    return false;
}

bool dispatch_history::mayHaveBeenEvicted(const request_id &id) const
{
    const auto found = m_evicted.find(id.entry);
    return found != m_evicted.end() && id.number <= found->second.number;
}

void dispatch_history::removeExpired(instant now)
{
    while (!m_insertionOrder.empty() && now - m_insertionOrder.front().addedAt > m_maxAge)
        evictOldest(now);
    std::erase_if(m_evicted, [now](const auto &watermark) {
        return now - watermark.second.raisedAt > watermarkMaxAge;
    });
}

void dispatch_history::evictOldest(instant now)
{
    const attempt_key key = m_insertionOrder.front().key;
    m_insertionOrder.pop_front();
    const auto found = m_dispatches.find(key);
    if (found->second.storedAnswer) {
        m_bytes -= found->second.storedAnswer->content.body.size();
        std::erase(m_withStoredAnswer, key);
    }
    m_dispatches.erase(found);
    auto &watermark = m_evicted[key.id.entry];
    watermark.number = std::max(watermark.number, key.id.number);
    watermark.raisedAt = now;
}

void dispatch_history::dropStoredAnswers()
{
    while (m_bytes > m_byteLimit && !m_withStoredAnswer.empty()) {
        auto &value = m_dispatches.at(m_withStoredAnswer.front());
        m_withStoredAnswer.pop_front();
        m_bytes -= value.storedAnswer->content.body.size();
        value.storedAnswer.reset();
    }
}

} // namespace plantainpitch::detail
