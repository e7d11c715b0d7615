#include "plantainpitch/runtime/peer_connector.h"

#include "plantainpitch/runtime/peer_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <optional>
#include <random>

namespace plantainpitch::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

struct peer_connector::state : std::enable_shared_from_this<state>
{
    state(asio::io_context &io, host_port peer, const peer_options &peerOptions,
          connection_table &connections, peer_handler &peerHandler, std::uint64_t seed)
        : context(io)
        , strand(asio::make_strand(io))
        , timer(strand)
        , address(std::move(peer))
        , options(peerOptions)
        , table(connections)
        , handler(peerHandler)
        , random(seed)
        , backoff(peerOptions.minBackoff)
    {}

    void connect();
    void connected(error_code failure);
    void connectionEnded();
    void connectLater();

    asio::io_context &context;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    host_port address;
    peer_options options;
    connection_table &table;
    peer_handler &handler;
    std::mt19937_64 random;
    std::chrono::milliseconds backoff;
    std::optional<tcp::socket> socket;
    steady::time_point connectedAt;
    bool stopped = false;
};

void peer_connector::state::connect()
{
    if (stopped)
        return;
    socket.emplace(asio::make_strand(context));
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    socket->async_connect(endpoint,
                          asio::bind_executor(strand, [self = shared_from_this()](error_code e) {
                              self->connected(e);
                          }));
    timer.expires_after(options.connectTimeout);
    timer.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && self->socket) {
            error_code ignored;
            self->socket->close(ignored);
        }
    });
}

void peer_connector::state::connected(error_code failure)
{
    timer.cancel();
    if (failure || stopped) {
        socket.reset();
        handler.onEnded("connect_failed");
        connectLater();
        return;
    }
    connectedAt = steady::now();
    auto connection =
            std::make_shared<peer_connection>(std::move(*socket), options, table, handler);
    socket.reset();
    connection->start([self = shared_from_this()] {
        asio::post(self->strand, [self] { self->connectionEnded(); });
    });
}

void peer_connector::state::connectionEnded()
{
    // A peer that accepts and breaks off at once must not be called without a pause either.
    if (steady::now() - connectedAt > options.maxBackoff)
        backoff = options.minBackoff;
    connectLater();
}

void peer_connector::state::connectLater()
{
    if (stopped)
        return;
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
    timer.expires_after(std::chrono::milliseconds(jitter(random)));
    backoff = std::min(backoff * 2, options.maxBackoff);
    timer.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled)
            self->connect();
    });
}

peer_connector::peer_connector(asio::io_context &context, host_port address,
                               const peer_options &options, connection_table &table,
                               peer_handler &handler, std::uint64_t seed)
    : m_state(std::make_shared<state>(context, std::move(address), options, table, handler, seed))
{}

peer_connector::~peer_connector()
{
    stop();
}

void peer_connector::start()
{
    asio::post(m_state->strand, [state = m_state] { state->connect(); });
}

void peer_connector::stop()
{
    asio::post(m_state->strand, [state = m_state] {
        state->stopped = true;
        state->timer.cancel();
    });
}

} // namespace plantainpitch::runtime
