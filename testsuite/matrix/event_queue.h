#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace plantainpitch::matrix {

/// Virtual time: runs callbacks in the order of their times, then of their insertion.
class event_queue
{
public:
    [[nodiscard]] instant now() const { return m_now; }

    void after(duration delay, std::function<void()> callback)
    {
        m_events.emplace(std::make_pair(m_now + delay, m_sequence++), std::move(callback));
    }

    void runUntil(instant end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = end;
    }

private:
    instant m_now{ std::chrono::hours(1) };
    std::uint64_t m_sequence = 0;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace plantainpitch::matrix
