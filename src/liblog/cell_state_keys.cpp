#include "plantainpitch/log/cell_state.h"

#include "fold_results.h"

namespace plantainpitch {

using detail::acceptedAt;
using detail::refusedAt;

namespace {

constexpr std::size_t maxStoredBodyBytes = 2048;

template <class record>
bool isHolder(const key_state &key, const record &r)
{
    return key.entry == r.entry && key.request == r.request;
}

} // namespace

fold_result cell_state::fold(const key_claimed &record, log_position at)
{
    if (!key_table::isValidTime(record.claimedMs))
        return refusedAt(at, "claim time is out of range");
    // Refused claims tell the time as well.
    m_keys.observe(m_producer, record.claimedMs);
    const std::string name = key_table::name(record.account, record.key);
    if (m_keys.find(name) != nullptr)
        return refusedAt(at, "key is held");
    m_keys.insert(name, { .entry = record.entry,
                          .request = record.request,
                          .digest = record.digest,
                          .claimedMs = record.claimedMs });
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const key_finished &record, log_position at)
{
    key_state *key = m_keys.find(key_table::name(record.account, record.key));
    if (key == nullptr || !isHolder(*key, record))
        return refusedAt(at, "key is not held by this request");
    if (key->finished)
        return refusedAt(at, "key is finished");
    key->finished = true;
    key->status = record.status;
    // A longer body is dropped rather than refused: the key must not look unfinished.
    key->bodyStored = record.bodyStored && record.body.size() <= maxStoredBodyBytes;
    if (key->bodyStored)
        key->body = record.body;
    return acceptedAt(at, at);
}

fold_result cell_state::fold(const key_released &record, log_position at)
{
    const std::string name = key_table::name(record.account, record.key);
    const key_state *key = m_keys.find(name);
    if (key == nullptr || !isHolder(*key, record))
        return refusedAt(at, "key is not held by this request");
    if (key->finished)
        return refusedAt(at, "key is finished");
    m_keys.erase(name);
    return acceptedAt(at, at);
}

} // namespace plantainpitch
