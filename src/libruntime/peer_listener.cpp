#include "plantainpitch/runtime/peer_listener.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/peer_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>

namespace plantainpitch::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct peer_listener::state : std::enable_shared_from_this<state>
{
    state(asio::io_context &io, const peer_options &peerOptions, connection_table &connections,
          peer_handler &peerHandler)
        : context(io)
        , acceptor(asio::make_strand(io))
        , retryTimer(acceptor.get_executor())
        , options(peerOptions)
        , table(connections)
        , handler(peerHandler)
    {}

    void open(const host_port &address);
    void accept();
    void take(tcp::socket socket);

    asio::io_context &context;
    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    peer_options options;
    connection_table &table;
    peer_handler &handler;
    std::atomic<std::size_t> openConnections{ 0 };
};

void peer_listener::state::open(const host_port &address)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error &failure) {
        throw error(error_kind::invalid_argument,
                    "cannot listen on " + address.host + " port " + std::to_string(address.port)
                            + ": " + failure.code().message(),
                    "choose a free port and an address of this VM");
    }
}

void peer_listener::state::accept()
{
    acceptor.async_accept(asio::make_strand(context),
                          [self = shared_from_this()](error_code failure, tcp::socket socket) {
                              if (!self->acceptor.is_open())
                                  return;
                              if (!failure) {
                                  self->take(std::move(socket));
                                  self->accept();
                                  return;
                              }
                              // For example no free file descriptor; an immediate retry would spin.
                              self->retryTimer.expires_after(std::chrono::milliseconds(100));
                              self->retryTimer.async_wait([self](error_code cancelled) {
                                  if (!cancelled && self->acceptor.is_open())
                                      self->accept();
                              });
                          });
}

void peer_listener::state::take(tcp::socket socket)
{
    if (openConnections >= options.maxConnections) {
        handler.onEnded("too_many_connections");
        return;
    }
    ++openConnections;
    std::make_shared<peer_connection>(std::move(socket), options, table, handler)
            ->start([self = shared_from_this()] { --self->openConnections; });
}

peer_listener::peer_listener(asio::io_context &context, const host_port &address,
                             const peer_options &options, connection_table &table,
                             peer_handler &handler)
    : m_state(std::make_shared<state>(context, options, table, handler))
{
    m_state->open(address);
}

peer_listener::~peer_listener()
{
    stop();
}

void peer_listener::start()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] { state->accept(); });
}

void peer_listener::stop()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        error_code ignored;
        state->acceptor.close(ignored);
        state->retryTimer.cancel();
    });
}

std::uint16_t peer_listener::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

} // namespace plantainpitch::runtime
