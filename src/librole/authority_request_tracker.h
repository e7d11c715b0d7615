#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/message/authority_grant.h"
#include "plantainpitch/role/message/authority_request.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch {

/// Records when each authority_request was sent: an authority term starts at that time, not when
/// the grant arrives.
class authority_request_tracker
{
public:
    struct sent_request
    {
        instant sentAt;
        std::vector<held_task> held;
    };

    authority_request_tracker(std::uint64_t firstNonce, duration interval)
        : m_nextNonce(firstNonce)
        , m_interval(interval)
    {}

    /// \a shortestTerm is the shortest authority term of the held tasks. A fifth of it leaves time
    /// for a lost request and for the log round trip of the answer before a task has to stop.
    [[nodiscard]] bool due(instant now, duration shortestTerm) const
    {
        return !m_lastSent || now >= *m_lastSent + std::min(m_interval, shortestTerm / 5);
    }
    void makeDue() { m_lastSent.reset(); }
    authority_request makeRequest(instant now, const std::string &vm, std::vector<held_task> held);
    /// Removes and returns the request that the grant answers; none for a repeated or unknown
    /// nonce.
    std::optional<sent_request> take(const authority_grant &grant);

private:
    std::uint64_t m_nextNonce;
    duration m_interval;
    std::optional<instant> m_lastSent;
    std::map<std::uint64_t, sent_request> m_sent; ///< by nonce
};

} // namespace plantainpitch
