#include "http_client_connection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>

namespace plantainpitch::runtime::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16UL * 1024;
constexpr std::uint32_t maxHeaderBytes = 64 * 1024;

http_response fromBeast(http::response<http::string_body> message)
{
    http_response response;
    response.status = message.result_int();
    response.contentType = std::string(message[http::field::content_type]);
    for (const auto &field : message)
        response.headers.emplace_back(field.name_string(), field.value());
    response.body = std::move(message.body());
    return response;
}

} // namespace

http_client_connection::http_client_connection(asio::io_context &context,
                                               std::shared_ptr<http_client_pool> pool)
    : m_pool(std::move(pool))
    , m_socket(asio::make_strand(context))
    , m_connectTimer(m_socket.get_executor())
{}

void http_client_connection::start(std::shared_ptr<http_client_call> call)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), next = std::move(call)] {
        self->m_call = next;
        self->m_bytesWritten = false;
        if (next->timer.expiry() <= asio::steady_timer::clock_type::now()) {
            // The timer ran out before this connection had the call, and will not do so again.
            self->end(http_result_kind::connect_failed);
        } else if (!self->m_socket.is_open() || self->serverClosed()) {
            self->connect();
        } else {
            self->m_wasReused = true;
            self->write();
        }
    });
}

void http_client_connection::onTimeout(std::shared_ptr<http_client_call> call)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(),
                                             timedOut = std::move(call)] {
        if (self->m_call == timedOut)
            self->end(self->m_bytesWritten || self->m_writing ? http_result_kind::timeout
                                                              : http_result_kind::connect_failed);
    });
}

void http_client_connection::closeIdle()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->closeSocket(); });
}

void http_client_connection::closeSocket()
{
    error_code ignored;
    m_socket.close(ignored);
    m_connectTimer.cancel();
    ++m_generation;
    m_reading = false;
    m_writing = false;
    m_connecting = false;
    m_buffer.clear();
}

void http_client_connection::release()
{
    closeSocket();
    m_pool->onClosed();
}

bool http_client_connection::serverClosed()
{
    char byte = 0;
    error_code code;
    m_socket.non_blocking(true, code);
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    // Bytes that arrived before any request cannot be a response to it.
    return code != asio::error::would_block;
}

void http_client_connection::connect()
{
    closeSocket();
    m_wasReused = false;
    error_code code;
    const auto address = asio::ip::make_address(m_pool->options().address, code);
    if (code) {
        end(http_result_kind::connect_failed);
        return;
    }
    m_connecting = true;
    m_connectTimer.expires_after(m_pool->options().connectTimeout);
    m_connectTimer.async_wait(
            [self = shared_from_this(), generation = m_generation](const error_code &timerCode) {
                if (!timerCode && generation == self->m_generation && self->m_connecting)
                    self->end(http_result_kind::connect_failed);
            });
    m_socket.async_connect(
            { address, m_pool->options().port },
            [self = shared_from_this(), generation = m_generation](const error_code &connectCode) {
                if (generation == self->m_generation)
                    self->onConnected(connectCode);
            });
}

void http_client_connection::onConnected(const error_code &code)
{
    if (code) {
        end(http_result_kind::connect_failed, code == asio::error::connection_refused);
        return;
    }
    m_connecting = false;
    m_connectTimer.cancel();
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    write();
}

http_client_connection::request_message
http_client_connection::toBeast(const http_request &request) const
{
    request_message message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host,
                m_pool->options().address + ':' + std::to_string(m_pool->options().port));
    for (const auto &[name, value] : request.headers) {
        const auto field = http::string_to_field(name);
        if (field != http::field::host && field != http::field::content_length
            && field != http::field::transfer_encoding && field != http::field::connection)
            message.insert(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

void http_client_connection::newParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(m_pool->options().maxBodyBytes);
    m_parser->skip(m_message.method() == http::verb::head);
}

void http_client_connection::write()
{
    try {
        m_message = toBeast(m_call->request);
    } catch (const std::exception &) {
        // The method or a header cannot be expressed in HTTP; nothing was sent.
        end(http_result_kind::connect_failed);
        return;
    }
    newParser();
    m_writing = true;
    http::async_write(m_socket, m_message,
                      [self = shared_from_this(), generation = m_generation](const error_code &code,
                                                                             std::size_t bytes) {
                          self->onWritten(generation, code, bytes);
                      });
    readSome();
}

void http_client_connection::onWritten(std::uint64_t generation, const error_code &code,
                                       std::size_t bytes)
{
    if (generation != m_generation)
        return;
    m_writing = false;
    m_bytesWritten = bytes > 0;
    if (!code) {
        if (m_parser->is_done())
            onParsed();
        else if (!m_reading)
            end(http_result_kind::broken); // the read failed before the write was reported
    } else if (!m_bytesWritten && m_wasReused) {
        connect();
    } else if (!m_bytesWritten) {
        end(http_result_kind::connect_failed);
    } else if (m_parser->is_done()) {
        closeSocket();
        onParsed();
    } else if (!m_reading) {
        end(http_result_kind::broken);
    }
    // With a read pending, the server may have answered early (for example 413) and stopped
    // reading.
}

void http_client_connection::readSome()
{
    if (m_reading)
        return;
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(readBytes),
                             [self = shared_from_this(), generation = m_generation](
                                     const error_code &code, std::size_t bytes) {
                                 self->onRead(generation, code, bytes);
                             });
}

void http_client_connection::onRead(std::uint64_t generation, const error_code &code,
                                    std::size_t bytes)
{
    if (generation != m_generation)
        return;
    m_reading = false;
    if (!m_call) {
        // The server closed the connection, or sent something that nobody asked for.
        closeSocket();
        m_pool->onIdleClosed(shared_from_this());
        return;
    }
    if (!code) {
        m_buffer.commit(bytes);
        feed();
        return;
    }
    error_code endCode;
    if (code == asio::error::eof && m_parser->got_some() && !m_parser->is_done())
        m_parser->put_eof(endCode);
    if (m_parser->is_done())
        onParsed();
    else if (!m_writing)
        end(http_result_kind::broken);
    // Otherwise the completion of the write tells whether any byte was sent.
}

void http_client_connection::feed()
{
    error_code code;
    while (!m_parser->is_done() && !code && m_buffer.size() > 0) {
        m_buffer.consume(m_parser->put(m_buffer.data(), code));
        if (m_parser->is_done() && m_parser->get().result_int() < 200)
            newParser();
    }
    if (code && code != http::error::need_more)
        end(http_result_kind::broken);
    else if (m_parser->is_done())
        onParsed();
    else
        readSome();
}

void http_client_connection::onParsed()
{
    if (m_writing && m_parser->keep_alive())
        return; // onWritten() comes back here
    const auto call = std::exchange(m_call, nullptr);
    const bool keep =
            m_parser->keep_alive() && !m_writing && m_buffer.size() == 0 && m_socket.is_open();
    http_result result{ .kind = http_result_kind::answered,
                        .response = fromBeast(m_parser->release()) };
    if (keep)
        readSome();
    if (!keep || !m_pool->onIdle(shared_from_this()))
        release();
    call->finish(std::move(result));
}

void http_client_connection::end(http_result_kind kind, bool refused)
{
    const auto call = std::exchange(m_call, nullptr);
    m_bytesWritten = false;
    release();
    if (call)
        call->finish({ .kind = kind, .response = {}, .refused = refused });
}

} // namespace plantainpitch::runtime::detail
