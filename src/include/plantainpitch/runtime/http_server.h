#pragma once

#include "plantainpitch/runtime/http_handler.h"
#include "plantainpitch/runtime/http_server_options.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace plantainpitch::runtime {

/// HTTP/1.1 server with keep-alive on Boost.Beast. Requests that break a limit get a typed JSON
/// error {"error":{"kind","message","remedy"}} and never reach the handler.
class http_server
{
public:
    /// Binds and listens. Throws error(invalid_argument) if the address cannot be bound.
    http_server(boost::asio::io_context &context, http_server_options options,
                http_handler &handler);
    ~http_server();

    void start();
    /// Further responses carry "Connection: close", while new connections are still accepted.
    /// Called some time before stopAccepting(), it lets clients leave their kept connections
    /// without a request lost. Thread-safe.
    void closeAfterResponses();
    /// Closes the listener and idle connections; requests in flight get their responses, with
    /// "Connection: close". Thread-safe.
    void stopAccepting();

    [[nodiscard]] std::uint16_t port() const;
    /// Requests read and not yet fully answered. Thread-safe.
    [[nodiscard]] std::size_t openRequests() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
