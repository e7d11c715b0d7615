#include "plantainpitch/runtime/peer_connection.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/frame_limits.h"
#include "plantainpitch/wire/message_codec.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace plantainpitch::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

peer_connection::peer_connection(socket connected, const peer_options &options,
                                 connection_table &table, peer_handler &handler)
    : m_socket(std::move(connected))
    , m_timer(m_socket.get_executor())
    , m_options(options)
    , m_table(table)
    , m_handler(handler)
{
    m_reader.setLimit(wire::maxFirstFrameBytes);
}

void peer_connection::start(std::function<void()> ended)
{
    m_ended = std::move(ended);
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_started = self->m_lastRead = self->m_lastWrite = steady::now();
        self->send(self->m_options.self);
        self->readSome();
        self->watch();
    });
}

void peer_connection::send(const message &content)
{
    enqueue(wire::encodeFrame(content));
}

void peer_connection::enqueue(std::string frame)
{
    frame.insert(0, wire::framePrefix(frame.size()));
    {
        const std::lock_guard lock(m_queueMutex);
        if (m_queuedBytes + frame.size() > m_options.maxQueuedBytes) {
            close("send_queue_full");
            return;
        }
        m_queuedBytes += frame.size();
        m_queue.push_back(std::move(frame));
        if (m_writing)
            return;
        m_writing = true;
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writeNext(); });
}

void peer_connection::writeNext()
{
    // Elements of a deque stay in place while others are appended, so the buffers stay valid.
    std::vector<asio::const_buffer> buffers;
    std::size_t bytes = 0;
    {
        const std::lock_guard lock(m_queueMutex);
        constexpr std::size_t maxBuffers = 64;
        for (const std::string &frame : m_queue) {
            buffers.push_back(asio::buffer(frame));
            bytes += frame.size();
            if (buffers.size() == maxBuffers)
                break;
        }
        m_writing = !m_queue.empty();
    }
    if (m_finished || buffers.empty())
        return;
    const std::size_t frames = buffers.size();
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this(), frames, bytes](error_code failure, std::size_t) {
                          if (failure) {
                              self->finish("write_failed");
                              return;
                          }
                          self->m_lastWrite = steady::now();
                          {
                              const std::lock_guard lock(self->m_queueMutex);
                              self->m_queue.erase(self->m_queue.begin(),
                                                  self->m_queue.begin()
                                                          + static_cast<std::ptrdiff_t>(frames));
                              self->m_queuedBytes -= bytes;
                          }
                          self->writeNext();
                      });
}

void peer_connection::readSome()
{
    m_socket.async_read_some(asio::buffer(m_chunk), [self = shared_from_this()](error_code failure,
                                                                                std::size_t count) {
        if (self->m_finished)
            return;
        if (failure)
            self->finish(failure == asio::error::eof ? "closed_by_peer" : "read_failed");
        else
            self->handleBytes(count);
    });
}

void peer_connection::handleBytes(std::size_t count)
{
    m_lastRead = steady::now();
    m_reader.append({ m_chunk.data(), count });
    while (true) {
        std::optional<message> content;
        try {
            const auto frame = m_reader.next();
            if (!frame)
                break;
            content = wire::decodeFrame(*frame);
        } catch (const error &) {
            finish("bad_frame");
            return;
        }
        if (!handleMessage(std::move(*content)))
            return;
    }
    readSome();
}

bool peer_connection::handleMessage(message content)
{
    if (const auto *peer = std::get_if<hello>(&content))
        return handleHello(*peer);
    if (!m_opened) {
        finish("no_hello");
        return false;
    }
    m_handler.onMessage(m_id, std::move(content));
    return !m_finished;
}

bool peer_connection::handleHello(const hello &peer)
{
    if (m_opened) // keep-alive
        return true;
    if (peer.protocolVersion != m_options.self.protocolVersion) {
        finish("wrong_version");
        return false;
    }
    if (peer.incarnation == m_options.self.incarnation) {
        finish("own_process");
        return false;
    }
    m_opened = true;
    m_reader.setLimit(wire::maxFrameBytes);
    m_id = m_table.add(shared_from_this());
    m_handler.onOpened(m_id, peer);
    return !m_finished;
}

void peer_connection::watch()
{
    const auto now = steady::now();
    if (!m_opened && now - m_started >= m_options.helloTimeout)
        return finish("hello_timeout");
    if (m_opened && now - m_lastRead >= m_options.idleTimeout)
        return finish("idle");
    if (now - m_lastWrite >= m_options.keepAliveInterval && m_queuedBytes == 0)
        send(m_options.self);
    const auto shortest = std::min(
            { m_options.helloTimeout, m_options.idleTimeout, m_options.keepAliveInterval });
    m_timer.expires_after(shortest / 2);
    m_timer.async_wait([self = shared_from_this()](error_code failure) {
        if (!failure && !self->m_finished)
            self->watch();
    });
}

void peer_connection::close(const std::string &reason)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), reason] { self->finish(reason); });
}

void peer_connection::finish(const std::string &reason)
{
    if (m_finished)
        return;
    m_finished = true;
    error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    if (m_opened) {
        m_table.remove(m_id);
        m_handler.onClosed(m_id, reason);
    }
    m_handler.onEnded(reason);
    if (m_ended)
        m_ended();
    m_ended = nullptr;
}

} // namespace plantainpitch::runtime
