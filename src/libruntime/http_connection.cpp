#include "http_connection.h"

#include "plantainpitch/runtime/error_response.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace plantainpitch::runtime::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time in which the client may read the last response before the socket is closed. Closing at
/// once with unread bytes would reset the connection and could destroy the response.
constexpr std::chrono::milliseconds closingTime{ 1'000 };

/// Retry-After of a request for which there is no room; the next one may find some.
constexpr const char *retrySeconds = "1";

/// Numbers of requests; unique in the process over all servers.
std::atomic<std::uint64_t> nextRequestNumber{ 1 };

/// Headers that belong to the connection and are set by the server itself.
bool isConnectionHeader(const std::string &name)
{
    static const std::array<const char *, 6> names{ "Connection",   "Content-Length",
                                                    "Keep-Alive",   "Transfer-Encoding",
                                                    "Content-Type", "Upgrade" };
    return std::any_of(names.begin(), names.end(),
                       [&name](const char *other) { return beast::iequals(name, other); });
}

bool hasLineBreak(const std::string &text)
{
    return text.find_first_of(std::string("\r\n\0", 3)) != std::string::npos;
}

http::response<http::string_body> toBeast(http_response response, bool keep, bool head)
{
    http::response<http::string_body> result;
    result.version(11);
    result.result(response.status >= 200 && response.status <= 999 ? response.status : 502);
    if (result.result_int() == 204 || result.result_int() == 304)
        response.body.clear();
    if (!response.contentType.empty() && !hasLineBreak(response.contentType))
        result.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers) {
        if (!isConnectionHeader(name) && !hasLineBreak(name) && !hasLineBreak(value))
            result.insert(name, value);
    }
    result.keep_alive(keep);
    if (head) {
        result.content_length(response.body.size());
    } else {
        result.body() = std::move(response.body);
        result.prepare_payload();
    }
    return result;
}

} // namespace

http_connection::http_connection(asio::ip::tcp::socket socket,
                                 std::shared_ptr<http_server_shared> shared)
    : m_socket(std::move(socket))
    , m_deadline(m_socket.get_executor())
    , m_shared(std::move(shared))
{
    setPhase(phase::idle);
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void http_connection::start()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->nextRequest(); });
}

void http_connection::refuse()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->fail(self->rejectLimit(503, "connections", "too many connections",
                                     "close unused connections or try again later"));
    });
}

void http_connection::yieldTo(const char *limit)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), limit] {
        if (self->m_phase == phase::reading) {
            self->failForRoom(limit);
        } else if (self->m_phase != phase::handling && self->m_phase != phase::closed) {
            self->m_shared->reportLimit(limit);
            self->close();
        }
    });
}

void http_connection::releaseMemory()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        // Several connections may find the limit exceeded by the same request.
        if (self->m_phase == phase::reading && self->m_shared->holdsTooMuch())
            self->failForRoom("held_bytes");
    });
}

void http_connection::failForRoom(const char *limit)
{
    fail(rejectLimit(503, limit, "there is no room for this request",
                     "send it again later, without pauses"));
}

std::optional<http_connection::steady::time_point> http_connection::waitingSince() const
{
    const steady::rep since = m_waitingSince;
    if (since == notWaiting)
        return std::nullopt;
    return steady::time_point(steady::duration(since));
}

/// Returns the response to a request that breaks a limit, and reports the limit.
http_response http_connection::rejectLimit(unsigned status, const char *reason,
                                           const std::string &problem, const std::string &remedy)
{
    m_shared->reportLimit(reason);
    const error_kind kind = status == 503 ? error_kind::not_ready : error_kind::too_large;
    http_response response = errorResponse(status, kind, problem, remedy);
    if (status == 503)
        response.headers.emplace_back("Retry-After", retrySeconds);
    return response;
}

void http_connection::setPhase(phase next)
{
    m_phase = next;
    m_incomplete = next == phase::reading;
    m_closing = next == phase::closing;
    const bool waits = next == phase::idle || next == phase::reading || next == phase::writing;
    m_waitingSince = waits ? steady::now().time_since_epoch().count() : notWaiting;
}

void http_connection::countHeldBytes(std::size_t bytes)
{
    const std::size_t before = m_heldBytes.exchange(bytes);
    // Unsigned, so the difference may wrap around. In two steps, other connections could see the
    // request counted twice.
    m_shared->heldBytes += bytes - before;
}

/// Frees the memory of a request that is not read to its end.
void http_connection::dropRequest()
{
    m_parser.reset();
    m_buffer = beast::flat_buffer();
    countHeldBytes(0);
}

/// Ends requests that are being read, the largest first, until those that are left keep within the
/// limit.
void http_connection::makeRoom()
{
    if (!m_shared->holdsTooMuch())
        return;
    std::shared_ptr<http_connection> largest;
    {
        const std::lock_guard lock(m_shared->mutex);
        for (const auto &each : m_shared->connections) {
            if (each->unreadBytes() > 0
                && (!largest || each->unreadBytes() > largest->unreadBytes()))
                largest = each;
        }
    }
    if (largest)
        largest->releaseMemory();
}

void http_connection::closeWhenIdle()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_keepAlive = false;
        self->closeIfIdle();
    });
}

void http_connection::closeIfIdle()
{
    error_code code;
    if (m_phase != phase::idle || m_socket.available(code) > 0)
        return;
    if (m_requestNumber == 0)
        setDeadline(m_shared->options.firstRequestTime);
    else
        close();
}

void http_connection::abort()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
}

void http_connection::nextRequest()
{
    if (m_phase == phase::closed)
        return;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_shared->options.maxHeaderBytes));
    m_parser->body_limit(m_shared->options.maxBodyBytes);
    m_continueSent = false;
    countHeldBytes(0);
    setPhase(phase::idle);
    if (m_buffer.size() > 0) {
        feed();
        return;
    }
    setDeadline(m_shared->options.idleTimeout);
    readSome();
}

void http_connection::readSome()
{
    if (m_reading)
        return;
    m_reading = true;
    m_socket.async_read_some(
            asio::buffer(m_received),
            [self = shared_from_this()](const error_code &code, std::size_t bytes) {
                self->onRead(code, bytes);
            });
}

void http_connection::onRead(const error_code &code, std::size_t bytes)
{
    m_reading = false;
    if (m_phase == phase::closed)
        return;
    if (code) {
        onReadError();
        return;
    }
    if (m_phase == phase::closing) {
        m_buffer.clear();
        readSome();
        return;
    }
    asio::buffer_copy(m_buffer.prepare(bytes), asio::buffer(m_received, bytes));
    m_buffer.commit(bytes);
    if (m_phase == phase::idle || m_phase == phase::reading)
        feed();
    else if (m_buffer.size() < m_shared->options.maxEarlyBytes)
        readSome();
}

void http_connection::onReadError()
{
    const bool gone = m_phase == phase::handling;
    const auto number = m_requestNumber;
    close();
    if (gone)
        m_shared->handler.onClientGone(number);
}

void http_connection::feed()
{
    if (m_phase == phase::idle) {
        setPhase(phase::reading);
        setDeadline(m_shared->options.readTimeout);
    }
    error_code code;
    while (!m_parser->is_done() && !code && m_buffer.size() > 0)
        m_buffer.consume(m_parser->put(m_buffer.data(), code));
    // The parser limits the header and the body, but not trailers and chunk extensions, which it
    // takes as a whole.
    const auto &options = m_shared->options;
    if (!m_parser->is_done() && m_buffer.size() > options.maxHeaderBytes)
        code = http::error::header_limit;
    countHeldBytes(m_buffer.size() + m_parser->get().body().size());
    if (code && code != http::error::need_more)
        onParseError(code);
    else if (m_parser->is_done())
        dispatchRequest();
    else if (m_parser->is_header_done() && !m_continueSent
             && beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
        sendContinue();
    else
        readSome();
    if (m_phase == phase::reading)
        makeRoom();
}

void http_connection::sendContinue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    m_continueSent = true;
    asio::async_write(m_socket, asio::buffer(line),
                      [self = shared_from_this()](const error_code &code, std::size_t) {
                          if (code)
                              self->close();
                          else if (self->m_phase == phase::reading)
                              self->readSome();
                      });
}

void http_connection::onParseError(const error_code &code)
{
    const auto &options = m_shared->options;
    if (code == http::error::header_limit) {
        fail(rejectLimit(431, "header_bytes",
                         "the header is larger than " + std::to_string(options.maxHeaderBytes)
                                 + " bytes",
                         "send fewer or shorter header fields"));
    } else if (code == http::error::body_limit) {
        fail(rejectLimit(413, "body_bytes",
                         "the body is larger than " + std::to_string(options.maxBodyBytes)
                                 + " bytes",
                         "send a smaller body"));
    } else {
        fail(errorResponse(400, error_kind::protocol_error,
                           "the request is not valid HTTP/1.1: " + code.message(),
                           "send a well-formed HTTP/1.1 request"));
    }
}

void http_connection::dispatchRequest()
{
    setPhase(phase::handling);
    m_deadline.cancel();
    auto message = m_parser->release();
    m_keepAlive = m_keepAlive && message.keep_alive();
    m_headRequest = message.method() == http::verb::head;
    m_requestNumber = nextRequestNumber++;
    m_requestOpen = true;
    ++m_shared->openRequests;

    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.emplace_back(field.name_string(), field.value());
    request.body = std::move(message.body());

    // One more read for each answered request would hold ever more of a client that sends ahead.
    if (m_buffer.size() < m_shared->options.maxEarlyBytes)
        readSome();
    const auto respond = [weak = weak_from_this(), number = m_requestNumber](http_response answer) {
        if (auto self = weak.lock())
            self->respond(number, std::move(answer));
    };
    try {
        m_shared->handler.onRequest(m_requestNumber, std::move(request), respond);
    } catch (const std::exception &e) {
        respond(errorResponse(500, error_kind::internal_error,
                              std::string("the request failed: ") + e.what(),
                              "report this with the server's log"));
    }
}

void http_connection::respond(std::uint64_t number, http_response response)
{
    asio::dispatch(m_socket.get_executor(),
                   [self = shared_from_this(), number, answer = std::move(response)]() mutable {
                       if (self->m_phase == phase::handling && self->m_requestNumber == number)
                           self->write(std::move(answer));
                   });
}

void http_connection::write(http_response response)
{
    if (m_phase != phase::closing)
        setPhase(phase::writing);
    setDeadline(m_shared->options.idleTimeout);
    if (response.cutAfterBytes) {
        writeCut(std::move(response));
        return;
    }
    const bool keep = m_keepAlive && !m_shared->closeAfterResponse;
    auto message = std::make_shared<http::response<http::string_body>>(
            toBeast(std::move(response), keep, m_headRequest));
    const auto done = [self = shared_from_this(), message,
                       keep](const error_code &code, std::size_t) { self->onWritten(code, keep); };
    if (m_headRequest) {
        auto serializer = std::make_shared<http::response_serializer<http::string_body>>(*message);
        http::async_write_header(m_socket, *serializer,
                                 [serializer, done](const error_code &code, std::size_t bytes) {
                                     done(code, bytes);
                                 });
    } else {
        http::async_write(m_socket, *message, done);
    }
}

void http_connection::writeCut(http_response response)
{
    const std::size_t bytes = *response.cutAfterBytes;
    std::ostringstream text;
    text << toBeast(std::move(response), false, false);
    auto message = std::make_shared<std::string>(text.str().substr(0, bytes));
    asio::async_write(m_socket, asio::buffer(*message),
                      [self = shared_from_this(), message](const error_code &code, std::size_t) {
                          self->onWritten(code, false);
                      });
}

void http_connection::onWritten(const error_code &code, bool keep)
{
    if (m_requestOpen) {
        m_requestOpen = false;
        --m_shared->openRequests;
    }
    if (m_phase == phase::closed)
        return;
    if (code) {
        close();
        return;
    }
    if (!keep) {
        finishClosing();
        return;
    }
    nextRequest();
    // closeWhenIdle() has come while the response was being written.
    if (!m_keepAlive)
        closeIfIdle();
}

void http_connection::fail(http_response response)
{
    if (m_phase == phase::closed || m_phase == phase::closing)
        return;
    setPhase(phase::closing);
    m_keepAlive = false;
    m_headRequest = false;
    dropRequest();
    write(std::move(response));
}

void http_connection::finishClosing()
{
    setPhase(phase::closing);
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    setDeadline(closingTime);
    readSome();
}

void http_connection::setDeadline(std::chrono::milliseconds timeout)
{
    m_deadline.expires_after(timeout);
    m_deadline.async_wait([weak = weak_from_this()](const error_code &code) {
        if (auto self = weak.lock(); self && !code)
            self->onDeadline();
    });
}

void http_connection::onDeadline()
{
    if (m_deadline.expiry() > asio::steady_timer::clock_type::now())
        return;
    if (m_phase == phase::reading) {
        m_shared->reportLimit("read_time");
        fail(errorResponse(408, error_kind::timeout, "the request did not arrive in time",
                           "send the whole request without pauses"));
    } else if (m_phase != phase::handling) {
        close();
    }
}

void http_connection::close()
{
    if (m_phase == phase::closed)
        return;
    setPhase(phase::closed);
    dropRequest();
    if (m_requestOpen) {
        m_requestOpen = false;
        --m_shared->openRequests;
    }
    error_code ignored;
    m_deadline.cancel();
    m_socket.close(ignored);
    const std::lock_guard lock(m_shared->mutex);
    m_shared->connections.erase(shared_from_this());
}

} // namespace plantainpitch::runtime::detail
