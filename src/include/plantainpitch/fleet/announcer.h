#pragma once

#include "plantainpitch/runtime/clock.h"
#include "plantainpitch/sched/partition_store.h"

#include <chrono>

namespace plantainpitch::fleet {

/// Announces a member to the owners of the partition: once at startup, and repeatedly while no
/// owner is connected, because an owner removes members that stay unreachable.
class announcer
{
public:
    static constexpr std::chrono::seconds retryInterval{ 2 };

    announcer(sched::partition_store &store, const runtime::clock &time, sched::member self)
        : m_store(store)
        , m_time(time)
        , m_self(std::move(self))
    {}

    /// Call this about every 100 ms.
    void tick(bool hasOwner)
    {
        const instant now = m_time.now();
        if (m_announcing || (m_announced && (hasOwner || now - m_lastAttempt < retryInterval)))
            return;
        m_announcing = true;
        m_lastAttempt = now;
        m_store.announce(m_self, [this](bool answered) {
            m_announcing = false;
            m_announced = m_announced || answered;
        });
    }

private:
    sched::partition_store &m_store;
    const runtime::clock &m_time;
    const sched::member m_self;
    bool m_announced = false;
    bool m_announcing = false;
    instant m_lastAttempt{};
};

} // namespace plantainpitch::fleet
