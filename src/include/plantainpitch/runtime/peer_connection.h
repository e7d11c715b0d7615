#pragma once

#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/runtime/connection_table.h"
#include "plantainpitch/runtime/peer_handler.h"
#include "plantainpitch/runtime/peer_options.h"
#include "plantainpitch/wire/frame_reader.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace plantainpitch::runtime {

/// A TCP connection to another process of the system. Exchanges hello first. A malformed frame
/// closes the connection and has no other effect than onEnded("bad_frame").
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    using socket = boost::asio::ip::tcp::socket;

    /// \a connected must be connected, and its executor a strand. Table and handler must outlive
    /// the io_context's run.
    peer_connection(socket connected, const peer_options &options, connection_table &table,
                    peer_handler &handler);

    /// Starts the hello exchange. \a ended is called once, after the handler's calls.
    void start(std::function<void()> ended);

    /// Queues a message. Thread-safe. Throws error(too_large).
    void send(const message &content);
    /// Thread-safe.
    void close(const std::string &reason);

    [[nodiscard]] std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    void enqueue(std::string frame);
    void writeNext();
    void readSome();
    void handleBytes(std::size_t count);
    bool handleMessage(message content);
    bool handleHello(const hello &peer);
    void watch();
    void finish(const std::string &reason);

    socket m_socket;
    boost::asio::steady_timer m_timer;
    const peer_options m_options;
    connection_table &m_table;
    peer_handler &m_handler;
    std::function<void()> m_ended;
    connection_id m_id = 0;

    // Used on the strand only.
    wire::frame_reader m_reader;
    // Small: an entry has one connection to every agent of its region, about 4,000 of them.
    std::array<char, 8UL * 1024> m_chunk{};
    bool m_opened = false;
    bool m_finished = false;
    std::chrono::steady_clock::time_point m_started;
    std::chrono::steady_clock::time_point m_lastRead;
    std::chrono::steady_clock::time_point m_lastWrite;

    std::mutex m_queueMutex; // guards the queue and m_writing
    std::deque<std::string> m_queue;
    bool m_writing = false;
    std::atomic<std::size_t> m_queuedBytes{ 0 };
};

} // namespace plantainpitch::runtime
