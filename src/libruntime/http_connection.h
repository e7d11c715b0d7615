#pragma once

#include "http_server_shared.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace plantainpitch::runtime::detail {

/// One connection of an http_server. All members run on the socket's strand, except respond() and
/// the functions that say so.
///
/// A read is nearly always pending, so that a client that closes while its request is handled is
/// noticed; bytes of further requests that arrive early wait in the buffer.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(boost::asio::ip::tcp::socket socket,
                    std::shared_ptr<http_server_shared> shared);

    /// Any thread.
    void start();
    /// Answers 503 and closes. Any thread.
    void refuse();
    /// Closes the connection once no request is being read or answered. Any thread.
    void closeWhenIdle();
    /// Closes the connection at once. Any thread.
    void abort();
    /// Makes room for other connections, because of a limit: a request that is being read gets a
    /// 503, otherwise the connection is closed. One whose request is being handled stays. Any
    /// thread.
    void yieldTo(const char *limit);

    /// Answers 503 to a request that is being read, if the requests of all connections hold too
    /// much memory then. Any thread.
    void releaseMemory();

    using steady = std::chrono::steady_clock;
    /// Since when the server waits for this client to send or read; nothing while a request is
    /// handled and once the connection closes. Any thread.
    [[nodiscard]] std::optional<steady::time_point> waitingSince() const;
    /// Only the client's reading of the last response is waited for. Any thread.
    [[nodiscard]] bool isClosing() const { return m_closing; }
    /// Bytes of an incomplete request that this connection holds. Any thread.
    [[nodiscard]] std::size_t unreadBytes() const { return m_incomplete ? m_heldBytes.load() : 0; }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class phase { idle, reading, handling, writing, closing, closed };
    static constexpr steady::rep notWaiting = -1;

    void nextRequest();
    void closeIfIdle();
    void readSome();
    void onRead(const boost::system::error_code &code, std::size_t bytes);
    void onReadError();
    void feed();
    void sendContinue();
    void onParseError(const boost::system::error_code &code);
    void dispatchRequest();
    void respond(std::uint64_t number, http_response response);
    void write(http_response response);
    void writeCut(http_response response);
    void onWritten(const boost::system::error_code &code, bool keep);
    void fail(http_response response);
    void failForRoom(const char *limit);
    void finishClosing();
    [[nodiscard]] http_response rejectLimit(unsigned status, const char *reason,
                                            const std::string &problem, const std::string &remedy);
    void setPhase(phase next);
    void countHeldBytes(std::size_t bytes);
    void dropRequest();
    void makeRoom();
    void setDeadline(std::chrono::milliseconds timeout);
    void onDeadline();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_deadline;
    std::shared_ptr<http_server_shared> m_shared;
    /// Target of the pending read. Separate from m_buffer, whose content moves when it is consumed.
    std::array<char, 8 * 1024> m_received{};
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    phase m_phase = phase::idle;
    /// Of the request that is being read or handled, as counted in the server's heldBytes.
    std::atomic<std::size_t> m_heldBytes{ 0 };
    std::atomic<bool> m_incomplete{ false }; ///< a request is being read
    std::atomic<bool> m_closing{ false };
    /// Ticks of the steady clock; see waitingSince().
    std::atomic<steady::rep> m_waitingSince{ notWaiting };
    std::uint64_t m_requestNumber = 0;
    bool m_reading = false; ///< a read is pending
    bool m_continueSent = false;
    bool m_requestOpen = false; ///< counted in openRequests
    bool m_keepAlive = true;
    bool m_headRequest = false;
};

} // namespace plantainpitch::runtime::detail
