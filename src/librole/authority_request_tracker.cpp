#include "authority_request_tracker.h"

#include <cstddef>
#include <utility>

namespace plantainpitch {

namespace {

// Over a minute of requests at one every two seconds. A grant for an older request could not
// extend any authority.
constexpr std::size_t maxOutstandingRequests = 32;

} // namespace

authority_request authority_request_tracker::makeRequest(instant now, const std::string &vm,
                                                         std::vector<held_task> held)
{
    m_lastSent = now;
    const std::uint64_t nonce = m_nextNonce++;
    m_sent[nonce] = { .sentAt = now, .held = held };
    if (m_sent.size() > maxOutstandingRequests)
        m_sent.erase(m_sent.begin());
    return { .nonce = nonce, .vm = vm, .held = std::move(held) };
}

std::optional<authority_request_tracker::sent_request>
authority_request_tracker::take(const authority_grant &grant)
{
    const auto found = m_sent.find(grant.nonce);
    if (found == m_sent.end())
        return std::nullopt;
    sent_request request = std::move(found->second);
    m_sent.erase(found);
    return request;
}

} // namespace plantainpitch
