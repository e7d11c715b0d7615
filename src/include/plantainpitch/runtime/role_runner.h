#pragma once

#include "plantainpitch/role/action.h"
#include "plantainpitch/runtime/clock.h"

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace plantainpitch::runtime {

/// Brings events from several threads to the shards of a role, one lock per shard, and has the
/// actions carried out in order under that lock. The carrying out must therefore not deliver an
/// event on the same call stack.
template <typename Role, typename Event>
class role_runner
{
public:
    using carry_out = std::function<void(action)>;
    using on_fault = std::function<void(const std::exception &)>;

    /// \a onFault is called if the role throws; the state of the shard is not known then, so the
    /// process has to end.
    role_runner(Role &role, const clock &time, carry_out carryOut, on_fault onFault)
        : m_role(role)
        , m_time(time)
        , m_carryOut(std::move(carryOut))
        , m_onFault(std::move(onFault))
        , m_mutexes(role.shardCount())
    {}

    void deliver(const Event &event)
    {
        for (const std::size_t shard : m_role.shardsOf(event))
            run(shard, [&](instant now) { return m_role.handle(shard, now, event); });
        emptyInboxes();
    }

private:
    template <typename Work>
    void run(std::size_t shard, Work work)
    {
        const std::lock_guard lock(m_mutexes[shard]);
        try {
            for (action &todo : work(m_time.now()))
                m_carryOut(std::move(todo));
        } catch (const std::exception &fault) {
            m_onFault(fault);
        }
    }

    void emptyInboxes()
    {
        if constexpr (requires { m_role.hasInbox(std::size_t{}); }) {
            // Work for one shard can leave work for another, so the last pass finds nothing.
            for (bool found = true; found;) {
                found = false;
                for (std::size_t shard = 0; shard < m_mutexes.size(); ++shard) {
                    if (!m_role.hasInbox(shard))
                        continue;
                    found = true;
                    run(shard, [&](instant now) { return m_role.handleInbox(shard, now); });
                }
            }
        }
    }

    Role &m_role;
    const clock &m_time;
    carry_out m_carryOut;
    on_fault m_onFault;
    std::vector<std::mutex> m_mutexes;
};

} // namespace plantainpitch::runtime
