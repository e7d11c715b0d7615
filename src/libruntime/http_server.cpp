#include "plantainpitch/runtime/http_server.h"

#include "http_connection.h"
#include "plantainpitch/model/error.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <vector>

namespace plantainpitch::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using detail::http_connection;

namespace {

/// Pause after a failed accept, for example when file descriptors are short.
constexpr std::chrono::milliseconds acceptRetryTime{ 50 };
/// Connections beyond the limit that may be open at a time to be refused with a response; further
/// ones are closed without one.
constexpr std::size_t maxRefusals = 16;

/// Returns the connection that has waited for its client longest; none if all clients are prompt.
std::shared_ptr<http_connection> longestWaiting(const detail::http_server_shared &shared)
{
    const auto latest = http_connection::steady::now() - shared.options.minWaitBeforeEviction;
    std::shared_ptr<http_connection> result;
    for (const auto &each : shared.connections) {
        const auto since = each->waitingSince();
        if (since && *since <= latest && (!result || *since < *result->waitingSince()))
            result = each;
    }
    return result;
}

std::shared_ptr<http_connection> anyClosing(const detail::http_server_shared &shared)
{
    const auto found = std::find_if(shared.connections.begin(), shared.connections.end(),
                                    [](const auto &each) { return each->isClosing(); });
    return found == shared.connections.end() ? nullptr : *found;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::io_context &ioContext, http_server_options options, http_handler &handler)
        : context(ioContext)
        , acceptor(asio::make_strand(ioContext))
        , retryTimer(acceptor.get_executor())
        , shared(std::make_shared<detail::http_server_shared>(std::move(options), handler))
    {}

    void listen();
    void accept();
    void onAccepted(const error_code &code, asio::ip::tcp::socket socket);
    void add(asio::ip::tcp::socket socket);
    void closeListener();
    std::vector<std::shared_ptr<http_connection>> connections();

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    std::shared_ptr<detail::http_server_shared> shared;
    std::uint16_t port = 0;
};

void http_server::state::listen()
{
    const auto &options = shared->options;
    const std::string where = options.address + ':' + std::to_string(options.port);
    error_code code;
    const auto address = asio::ip::make_address(options.address, code);
    if (code)
        throw error(error_kind::invalid_argument, where + " is not an address: " + code.message(),
                    "give an IP address");
    try {
        const asio::ip::tcp::endpoint endpoint(address, options.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
        port = acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &e) {
        throw error(error_kind::invalid_argument,
                    "cannot listen on " + where + ": " + e.code().message(),
                    "give a free port and an address of this VM");
    }
}

void http_server::state::accept()
{
    acceptor.async_accept(
            asio::make_strand(context),
            [self = shared_from_this()](const error_code &code, asio::ip::tcp::socket socket) {
                self->onAccepted(code, std::move(socket));
            });
}

void http_server::state::onAccepted(const error_code &code, asio::ip::tcp::socket socket)
{
    if (!code)
        add(std::move(socket));
    if (!acceptor.is_open())
        return;
    if (!code) {
        accept();
        return;
    }
    retryTimer.expires_after(acceptRetryTime);
    retryTimer.async_wait([self = shared_from_this()](const error_code &timerCode) {
        if (!timerCode && self->acceptor.is_open())
            self->accept();
    });
}

void http_server::state::add(asio::ip::tcp::socket socket)
{
    const std::size_t limit = shared->options.maxConnections;
    auto connection = std::make_shared<http_connection>(std::move(socket), shared);
    std::shared_ptr<http_connection> evicted;
    bool full = false;
    {
        const std::lock_guard lock(shared->mutex);
        const std::size_t open = shared->connections.size();
        if (open >= limit)
            evicted = longestWaiting(*shared);
        full = open >= limit && !evicted;
        if (open >= limit + maxRefusals && !evicted)
            evicted = anyClosing(*shared);
        if (open < limit + maxRefusals || evicted)
            shared->connections.insert(connection);
        else
            connection = nullptr;
    }
    if (evicted)
        evicted->yieldTo("connections");
    if (!connection)
        shared->reportLimit("connections");
    else if (full)
        connection->refuse();
    else
        connection->start();
}

void http_server::state::closeListener()
{
    if (!acceptor.is_open())
        return;
    // Connections that the kernel has completed would be reset by closing the listener.
    error_code code;
    acceptor.non_blocking(true, code);
    while (!code) {
        asio::ip::tcp::socket socket(asio::make_strand(context));
        acceptor.accept(socket, code);
        if (!code)
            add(std::move(socket));
    }
    acceptor.close(code);
    retryTimer.cancel();
}

std::vector<std::shared_ptr<http_connection>> http_server::state::connections()
{
    const std::lock_guard lock(shared->mutex);
    return { shared->connections.begin(), shared->connections.end() };
}

http_server::http_server(asio::io_context &context, http_server_options options,
                         http_handler &handler)
    : m_state(std::make_shared<state>(context, std::move(options), handler))
{
    m_state->listen();
}

http_server::~http_server()
{
    asio::dispatch(m_state->acceptor.get_executor(), [state = m_state] {
        error_code ignored;
        state->acceptor.close(ignored);
        state->retryTimer.cancel();
    });
    // The connections refer to the set that holds them; without this they would never be freed.
    std::unordered_set<std::shared_ptr<http_connection>> open;
    {
        const std::lock_guard lock(m_state->shared->mutex);
        open.swap(m_state->shared->connections);
    }
    for (const auto &connection : open)
        connection->abort();
}

void http_server::start()
{
    asio::dispatch(m_state->acceptor.get_executor(), [state = m_state] { state->accept(); });
}

void http_server::closeAfterResponses()
{
    m_state->shared->closeAfterResponse = true;
}

void http_server::stopAccepting()
{
    closeAfterResponses();
    asio::dispatch(m_state->acceptor.get_executor(), [state = m_state] {
        state->closeListener();
        for (const auto &connection : state->connections())
            connection->closeWhenIdle();
    });
}

std::uint16_t http_server::port() const
{
    return m_state->port;
}

std::size_t http_server::openRequests() const
{
    return m_state->shared->openRequests;
}

} // namespace plantainpitch::runtime
