#pragma once

#include "plantainpitch/log/key_state.h"
#include "plantainpitch/log/producer_window.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace plantainpitch {

/// Idempotency keys with their expiry. The current time is taken from the claims in the log: it is
/// the second highest of the last claim times of the different producers.
class key_table
{
public:
    /// Time for which a key is kept after its claim.
    static constexpr std::int64_t keepMs = 24LL * 60 * 60 * 1000;

    /// Bounds claim times so that adding a day to them cannot overflow.
    [[nodiscard]] static constexpr bool isValidTime(std::int64_t ms)
    {
        return ms >= 0 && ms < std::int64_t(1) << 53U;
    }

    struct stored_key
    {
        key_state state;
        std::int64_t keptFromMs = 0; ///< start of the 24 hours

        bool operator==(const stored_key &) const = default;
    };

    [[nodiscard]] static std::string name(const std::string &account, const std::string &key)
    {
        return account + '\n' + key;
    }

    /// Null if unknown, released or expired.
    [[nodiscard]] key_state *find(const std::string &name);
    [[nodiscard]] const key_state *find(const std::string &name) const;

    /// Notes the time of a claim and removes the keys that have expired by it.
    void observe(std::uint64_t producer, std::int64_t claimedMs);
    /// Removes the claim times of producers that are no longer in \a window.
    void forgetProducers(const producer_window &window);
    void insert(const std::string &name, key_state state);
    void erase(const std::string &name);

    /// Nothing until two producers have claimed keys.
    [[nodiscard]] std::optional<std::int64_t> nowMs() const;

    [[nodiscard]] const std::unordered_map<std::string, stored_key> &keys() const { return m_keys; }
    [[nodiscard]] const std::unordered_map<std::uint64_t, std::int64_t> &claimTimes() const
    {
        return m_claimTimes;
    }
    void restore(std::unordered_map<std::string, stored_key> keys,
                 std::unordered_map<std::uint64_t, std::int64_t> claimTimes);

private:
    std::unordered_map<std::string, stored_key> m_keys;
    std::set<std::pair<std::int64_t, std::string>> m_expiry; ///< keptFromMs and name
    std::unordered_map<std::uint64_t, std::int64_t> m_claimTimes; ///< by producer
};

} // namespace plantainpitch
