#pragma once

#include "plantainpitch/runtime/connection_table.h"
#include "plantainpitch/runtime/host_port.h"
#include "plantainpitch/runtime/peer_handler.h"
#include "plantainpitch/runtime/peer_options.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace plantainpitch::runtime {

/// Accepts connections of other processes.
class peer_listener
{
public:
    /// Binds and listens; port 0 lets the system choose. Throws error(invalid_argument) if the
    /// address cannot be bound.
    peer_listener(boost::asio::io_context &context, const host_port &address,
                  const peer_options &options, connection_table &table, peer_handler &handler);
    ~peer_listener();

    void start();
    /// Closes the listener; open connections stay. Thread-safe.
    void stop();

    [[nodiscard]] std::uint16_t port() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
