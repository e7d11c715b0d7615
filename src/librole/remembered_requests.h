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

/// One dispatch of a request.
struct attempt_key
{
    request_id id;
    std::uint32_t attempt = 1;

    auto operator<=>(const attempt_key &) const = default;
};

/// What an agent remembers of a dispatch that has ended or was cancelled.
struct remembered_request
{
    /// Set unless the request was answered. A reason that proves "not run" is a tombstone.
    std::optional<refusal_reason> refused;
    std::optional<answer> stored; ///< answered, if the answer is kept
};

/// Ended dispatches and tombstones, bounded by number, age and bytes. What was forgotten is kept
/// as the highest request number per entry: a dispatch at or below it may be a repetition, so it
/// must neither start nor count as proven not run.
class remembered_requests
{
public:
    remembered_requests(std::size_t limit, std::size_t byteLimit, duration keptFor);

    void add(instant now, const attempt_key &key, remembered_request value);
    [[nodiscard]] const remembered_request *find(const attempt_key &key) const;
    /// True if a cancellation of this or a later attempt is remembered.
    [[nodiscard]] bool cancelledFrom(const attempt_key &key) const;
    /// True if any attempt of the request has run or may have run.
    [[nodiscard]] bool hasRun(const request_id &id) const;
    /// True if the request is so old that what is known of it may have been forgotten.
    [[nodiscard]] bool mayBeForgotten(const request_id &id) const;
    void forgetOld(instant now);

private:
    struct aged_key
    {
        instant added;
        attempt_key key;
    };
    /// Highest forgotten number of an entry.
    struct forgotten_mark
    {
        std::uint64_t number = 0;
        instant raised;
    };

    void forgetFirst(instant now);
    void dropBodies();

    std::size_t m_limit;
    std::size_t m_byteLimit;
    duration m_keptFor;
    std::size_t m_bytes = 0;
    std::map<attempt_key, remembered_request> m_requests;
    std::deque<aged_key> m_order;
    std::deque<attempt_key> m_withBody;
    std::unordered_map<std::uint64_t, forgotten_mark> m_forgotten; ///< by entry incarnation
};

} // namespace plantainpitch::detail
