#include "plantainpitch/log/key_table.h"

#include <algorithm>
#include <limits>

namespace plantainpitch {

key_state *key_table::find(const std::string &name)
{
    const auto it = m_keys.find(name);
    return it == m_keys.end() ? nullptr : &it->second.state;
}

const key_state *key_table::find(const std::string &name) const
{
    const auto it = m_keys.find(name);
    return it == m_keys.end() ? nullptr : &it->second.state;
}

void key_table::observe(std::uint64_t producer, std::int64_t claimedMs)
{
    m_claimTimes[producer] = claimedMs;
    const std::optional<std::int64_t> now = nowMs();
    if (!now)
        return;
    while (!m_expiry.empty() && m_expiry.begin()->first < *now - keepMs) {
        m_keys.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
}

void key_table::forgetProducers(const producer_window &window)
{
    std::erase_if(m_claimTimes,
                  [&window](const auto &entry) { return !window.contains(entry.first); });
}

void key_table::insert(const std::string &name, key_state state)
{
    // A claim of an entry whose clock is behind must not expire at once, and one whose clock is
    // ahead must not stay for ever: the start is kept within a day of the time in the log.
    std::int64_t keptFromMs = state.claimedMs;
    if (const std::optional<std::int64_t> now = nowMs())
        keptFromMs = std::clamp(keptFromMs, *now, *now + keepMs);
    erase(name);
    m_expiry.emplace(keptFromMs, name);
    m_keys.emplace(name, stored_key{ .state = std::move(state), .keptFromMs = keptFromMs });
}

void key_table::erase(const std::string &name)
{
    const auto it = m_keys.find(name);
    if (it == m_keys.end())
        return;
    m_expiry.erase({ it->second.keptFromMs, name });
    m_keys.erase(it);
}

std::optional<std::int64_t> key_table::nowMs() const
{
    if (m_claimTimes.size() < 2)
        return std::nullopt;
    std::int64_t highest = std::numeric_limits<std::int64_t>::min();
    std::int64_t second = highest;
    for (const auto &[producer, ms] : m_claimTimes) {
        second = std::max(second, std::min(highest, ms));
        highest = std::max(highest, ms);
    }
    return second;
}

void key_table::restore(std::unordered_map<std::string, stored_key> keys,
                        std::unordered_map<std::uint64_t, std::int64_t> claimTimes)
{
    m_keys = std::move(keys);
    m_claimTimes = std::move(claimTimes);
    m_expiry.clear();
    for (const auto &[name, stored] : m_keys)
        m_expiry.emplace(stored.keptFromMs, name);
}

} // namespace plantainpitch
