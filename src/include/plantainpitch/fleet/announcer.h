#pragma once

#include "plantainpitch/runtime/clock.h"
#include "plantainpitch/sched/partition_store.h"

#include <chrono>

namespace plantainpitch::fleet {

/// Announces a member to the owners of the partition: once at start, and again while no owner is
/// connected, since an owner forgets members that it cannot reach for long.
class announcer
{
public:
    static constexpr std::chrono::seconds interval{ 2 };

    announcer(sched::partition_store &store, const runtime::clock &time, sched::member self)
        : m_store(store)
        , m_time(time)
        , m_self(std::move(self))
    {}

    /// To be called every 100 ms or so.
    void tick(bool hasOwner)
    {
        const instant now = m_time.now();
        if (m_onItsWay || (m_announced && (hasOwner || now - m_last < interval)))
            return;
        m_onItsWay = true;
        m_last = now;
        m_store.announce(m_self, [this](bool answered) {
            m_onItsWay = false;
            m_announced = m_announced || answered;
        });
    }

private:
    sched::partition_store &m_store;
    const runtime::clock &m_time;
    const sched::member m_self;
    bool m_announced = false;
    bool m_onItsWay = false;
    instant m_last{};
};

} // namespace plantainpitch::fleet
