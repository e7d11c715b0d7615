#pragma once

#include "plantainpitch/runtime/connection_table.h"
#include "plantainpitch/runtime/host_port.h"
#include "plantainpitch/runtime/peer_handler.h"
#include "plantainpitch/runtime/peer_options.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace plantainpitch::runtime {

/// Keeps a connection to one process: connects again after a failure, with exponential back-off
/// and jitter so that the agents of a region do not all come back to an entry at once.
class peer_connector
{
public:
    /// \a seed is for the jitter.
    peer_connector(boost::asio::io_context &context, host_port address, const peer_options &options,
                   connection_table &table, peer_handler &handler, std::uint64_t seed);
    ~peer_connector();

    void start();
    /// Makes no further connection; an open one stays. Thread-safe.
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
