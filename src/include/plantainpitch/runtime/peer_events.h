#pragma once

#include "plantainpitch/role/entry_event.h"
#include "plantainpitch/runtime/peer_handler.h"
#include "plantainpitch/runtime/shell_core.h"

#include <functional>
#include <string>
#include <utility>

namespace plantainpitch::runtime {

/// Turns what happens on the connections between processes into events of a role.
template <typename Event>
class peer_events : public peer_handler
{
public:
    /// \a deliver may be called on any thread. \a core must outlive this object.
    peer_events(shell_core &core, std::function<void(const Event &)> deliver)
        : m_core(core)
        , m_deliver(std::move(deliver))
    {}

    void onOpened(connection_id connection, const hello &peer) override
    {
        m_deliver(connection_opened{ .connection = connection, .peer = peer });
    }

    void onMessage(connection_id connection, message content) override
    {
        m_deliver(message_received{ .connection = connection, .content = std::move(content) });
    }

    void onClosed(connection_id connection, const std::string &reason) override
    {
        m_core.log().write({ .event = "connection_closed",
                             .fields = { { "connection", std::to_string(connection) },
                                         { "reason", reason } } });
        m_deliver(connection_closed{ .connection = connection });
    }

    void onEnded(const std::string &reason) override { m_core.countConnectionEnd(reason); }

private:
    shell_core &m_core;
    const std::function<void(const Event &)> m_deliver;
};

} // namespace plantainpitch::runtime
