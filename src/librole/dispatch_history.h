#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/request_id.h"
#include "plantainpitch/role/message/answer.h"
#include "plantainpitch/role/message/refusal_reason.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace plantainpitch::detail {

/// Identifies one dispatch of a request.
struct attempt_key
{
    request_id id;
    std::uint32_t attempt = 1;

    auto operator<=>(const attempt_key &) const = default;
};

/// Outcome of a dispatch that has finished or was cancelled.
struct past_dispatch
{
    /// Empty if the request was answered. A reason that proves "not run" makes this a tombstone: a
    /// later dispatch with the same key is refused.
    std::optional<refusal_reason> refused;
    std::optional<answer> storedAnswer; ///< empty if not answered or not kept
};

/// Past dispatches and tombstones of an agent, limited by number, age and size of the stored
/// answers. For each entry, the highest evicted request number is kept as a watermark: a request at
/// or below it may have been handled before, so it must neither start nor be reported as not run.
class dispatch_history
{
public:
    dispatch_history(std::size_t limit, std::size_t byteLimit, duration maxAge);

    void add(instant now, const attempt_key &key, past_dispatch value);
    [[nodiscard]] const past_dispatch *find(const attempt_key &key) const;
    /// True if the history has a cancellation of this or a later attempt.
    [[nodiscard]] bool isCancelled(const attempt_key &key) const;
    /// True if any attempt of the request has run or may have run.
    [[nodiscard]] bool hasRun(const request_id &id) const;
    /// True if the request number is at or below the eviction watermark of its entry.
    [[nodiscard]] bool mayHaveBeenEvicted(const request_id &id) const;
    void removeExpired(instant now);

private:
    struct aged_key
    {
        instant addedAt;
        attempt_key key;
    };
    /// Highest evicted request number of an entry.
    struct eviction_watermark
    {
        std::uint64_t number = 0;
        instant raisedAt;
    };

    void evictOldest(instant now);
    void dropStoredAnswers();

    std::size_t m_limit;
    std::size_t m_byteLimit;
    duration m_maxAge;
    std::size_t m_bytes = 0;
    std::map<attempt_key, past_dispatch> m_dispatches;
    std::deque<aged_key> m_insertionOrder;
    std::deque<attempt_key> m_withStoredAnswer;
    std::unordered_map<std::uint64_t, eviction_watermark> m_evicted; ///< by entry incarnation
};

} // namespace plantainpitch::detail
