#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace plantainpitch::detail {

/// Queue of work items that other shards post for the owner of a \a Target. Thread-safe.
template <typename Target>
class shard_inbox
{
public:
    using work = std::function<void(Target &)>;

    void post(work item)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(item));
    }

    [[nodiscard]] bool empty() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.empty();
    }

    std::vector<work> take()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_items, {});
    }

private:
    mutable std::mutex m_mutex;
    std::vector<work> m_items;
};

} // namespace plantainpitch::detail
