#pragma once

#include "plantainpitch/wire/frame_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantainpitch::runtime {

struct frame_link_options
{
    /// Without anything from the peer for this long the link is closed: it may be cut in one
    /// direction only, or silent, which TCP alone does not show.
    std::chrono::milliseconds idleTimeout{ 2'000 };
    /// An empty frame is sent if nothing else was.
    std::chrono::milliseconds keepAliveInterval{ 500 };
    /// A peer that reads too slowly for this is disconnected.
    std::size_t maxQueuedBytes = 8UL * 1024 * 1024;
};

/// A TCP connection that carries frames between two processes of the system. To be used on the
/// thread of its io_context only.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    struct callbacks
    {
        std::function<void(const std::string &frame)> frame;
        std::function<void(const std::string &reason)> closed; ///< called once, never by close()
    };

    frame_link(boost::asio::ip::tcp::socket connected, frame_link_options options);

    void start(callbacks calls);
    /// Sets the largest frame that is accepted from the peer from now on.
    void setFrameLimit(std::size_t bytes) { m_reader.setLimit(bytes); }
    void send(const std::string &frame);
    /// When the last bytes came from the peer, those that only show that it lives included.
    [[nodiscard]] std::chrono::steady_clock::time_point lastRead() const { return m_lastRead; }
    /// Sends what is queued, then closes. The callbacks are not called any more.
    void close();

private:
    void write();
    void read();
    void onBytes(std::size_t count);
    void watch();
    void finish(const std::string &reason);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const frame_link_options m_options;
    callbacks m_calls;
    wire::frame_reader m_reader;
    std::array<char, 16UL * 1024> m_chunk{};
    std::string m_queued;
    std::string m_writing;
    std::optional<std::chrono::steady_clock::time_point> m_closingSince;
    bool m_finished = false;
    std::chrono::steady_clock::time_point m_lastRead;
    std::chrono::steady_clock::time_point m_lastWrite;
};

} // namespace plantainpitch::runtime
