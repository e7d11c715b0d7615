#include "remembered_requests.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::detail {

namespace {

/// An entry from which nothing was forgotten for this long is taken to be gone: callers' deadlines
/// are far shorter, and a connection does not outlive its process.
constexpr duration markKeptFor = std::chrono::hours(1);

} // namespace

remembered_requests::remembered_requests(std::size_t limit, std::size_t byteLimit, duration keptFor)
    : m_limit(limit)
    , m_byteLimit(byteLimit)
    , m_keptFor(keptFor)
{}

void remembered_requests::add(instant now, const attempt_key &key, remembered_request value)
{
    const std::size_t bytes = value.stored ? value.stored->content.body.size() : 0;
    const bool hasBody = value.stored.has_value();
    if (!m_requests.emplace(key, std::move(value)).second)
        return;
    m_order.push_back({ .added = now, .key = key });
    if (hasBody) {
        m_withBody.push_back(key);
        m_bytes += bytes;
    }
    dropBodies();
    while (m_requests.size() > m_limit)
        forgetFirst(now);
}

const remembered_request *remembered_requests::find(const attempt_key &key) const
{
    const auto found = m_requests.find(key);
    return found == m_requests.end() ? nullptr : &found->second;
}

bool remembered_requests::cancelledFrom(const attempt_key &key) const
{
    for (auto it = m_requests.lower_bound(key); it != m_requests.end() && it->first.id == key.id;
         ++it) {
        if (it->second.refused == refusal_reason::cancelled)
            return true;
    }
    return false;
}

bool remembered_requests::hasRun(const request_id &id) const
{
    for (auto it = m_requests.lower_bound({ .id = id, .attempt = 0 });
         it != m_requests.end() && it->first.id == id; ++it) {
        const auto &refused = it->second.refused;
        if (!refused || !provesNotRun(*refused))
            return true;
    }
    return false;
}

bool remembered_requests::mayBeForgotten(const request_id &id) const
{
    const auto found = m_forgotten.find(id.entry);
    return found != m_forgotten.end() && id.number <= found->second.number;
}

void remembered_requests::forgetOld(instant now)
{
    while (!m_order.empty() && now - m_order.front().added > m_keptFor)
        forgetFirst(now);
    std::erase_if(m_forgotten,
                  [now](const auto &mark) { return now - mark.second.raised > markKeptFor; });
}

void remembered_requests::forgetFirst(instant now)
{
    const attempt_key key = m_order.front().key;
    m_order.pop_front();
    const auto found = m_requests.find(key);
    if (found->second.stored) {
        m_bytes -= found->second.stored->content.body.size();
        std::erase(m_withBody, key);
    }
    m_requests.erase(found);
    auto &mark = m_forgotten[key.id.entry];
    mark.number = std::max(mark.number, key.id.number);
    mark.raised = now;
}

void remembered_requests::dropBodies()
{
    while (m_bytes > m_byteLimit && !m_withBody.empty()) {
        auto &value = m_requests.at(m_withBody.front());
        m_withBody.pop_front();
        m_bytes -= value.stored->content.body.size();
        value.stored.reset();
    }
}

} // namespace plantainpitch::detail
