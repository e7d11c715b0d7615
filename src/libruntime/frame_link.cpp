#include "plantainpitch/runtime/frame_link.h"

#include "plantainpitch/model/error.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <optional>

namespace plantainpitch::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace {

/// Content of a frame that only shows that its sender lives.
const std::string keepAliveFrame(1, '\0');

} // namespace

frame_link::frame_link(asio::ip::tcp::socket connected, frame_link_options options)
    : m_socket(std::move(connected))
    , m_timer(m_socket.get_executor())
    , m_options(options)
    , m_lastRead(steady::now())
    , m_lastWrite(m_lastRead)
{}

void frame_link::start(callbacks calls)
{
    m_calls = std::move(calls);
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(user_timeout(static_cast<int>(m_options.idleTimeout.count())), ignored);
    read();
    watch();
}

void frame_link::send(const std::string &frame)
{
    if (m_finished || m_closingSince)
        return;
    if (m_queued.size() + frame.size() > m_options.maxQueuedBytes) {
        finish("send_queue_full");
        return;
    }
    m_queued += wire::framePrefix(frame.size());
    m_queued += frame;
    if (m_writing.empty())
        write();
}

void frame_link::write()
{
    if (m_finished)
        return;
    if (m_queued.empty()) {
        if (m_closingSince)
            finish("closed");
        return;
    }
    m_writing.swap(m_queued);
    m_queued.clear();
    m_lastWrite = steady::now();
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](const error_code &failure, std::size_t) {
                          self->m_writing.clear();
                          if (failure)
                              self->finish("write_failed");
                          else
                              self->write();
                      });
}

void frame_link::read()
{
    m_socket.async_read_some(
            asio::buffer(m_chunk),
            [self = shared_from_this()](const error_code &failure, std::size_t count) {
                if (self->m_finished)
                    return;
                if (failure)
                    self->finish(failure == asio::error::eof ? "closed_by_peer" : "read_failed");
                else
                    self->onBytes(count);
            });
}

void frame_link::onBytes(std::size_t count)
{
    m_lastRead = steady::now();
    // What arrives while the link closes is discarded.
    if (!m_closingSince)
        m_reader.append({ m_chunk.data(), count });
    while (!m_finished && !m_closingSince) {
        std::optional<std::string> frame;
        try {
            frame = m_reader.next();
            if (!frame)
                break;
            if (*frame != keepAliveFrame && m_calls.frame)
                m_calls.frame(*frame);
        } catch (const error &) {
            finish("bad_frame");
            return;
        }
    }
    if (!m_finished)
        read();
}

void frame_link::watch()
{
    const auto now = steady::now();
    if (now - m_lastRead >= m_options.idleTimeout) {
        finish("idle");
        return;
    }
    if (m_closingSince && now - *m_closingSince >= m_options.idleTimeout) {
        finish("closed"); // the peer does not read what is queued
        return;
    }
    if (now - m_lastWrite >= m_options.keepAliveInterval && m_writing.empty())
        send(keepAliveFrame);
    m_timer.expires_after(m_options.keepAliveInterval);
    m_timer.async_wait([self = shared_from_this()](const error_code &failure) {
        if (!failure && !self->m_finished)
            self->watch();
    });
}

void frame_link::close()
{
    m_closingSince = steady::now();
    m_calls = {};
    if (m_writing.empty() && !m_finished)
        write();
}

void frame_link::finish(const std::string &reason)
{
    if (m_finished)
        return;
    m_finished = true;
    error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    const auto closed = std::move(m_calls.closed);
    m_calls = {};
    if (closed)
        closed(reason);
}

} // namespace plantainpitch::runtime
