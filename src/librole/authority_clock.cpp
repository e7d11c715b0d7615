#include "authority_clock.h"

#include <cstddef>
#include <utility>

namespace plantainpitch {

namespace {

// Requests are sent every two seconds, so this covers more than a minute. An older grant could
// not lengthen any authority.
constexpr std::size_t maxOutstandingRequests = 32;

} // namespace

authority_request authority_clock::request(instant now, const std::string &vm,
                                           std::vector<held_task> held)
{
    m_lastSent = now;
    const std::uint64_t nonce = m_nextNonce++;
    m_sent[nonce] = { .sentAt = now, .held = held };
    if (m_sent.size() > maxOutstandingRequests)
        m_sent.erase(m_sent.begin());
    return { .nonce = nonce, .vm = vm, .held = std::move(held) };
}

std::optional<authority_clock::sent_request> authority_clock::take(const authority_grant &grant)
{
    const auto found = m_sent.find(grant.nonce);
    if (found == m_sent.end())
        return std::nullopt;
    sent_request request = std::move(found->second);
    m_sent.erase(found);
    return request;
}

} // namespace plantainpitch
