#pragma once

#include "http_client_call.h"
#include "http_client_pool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>
#include <optional>

namespace plantainpitch::runtime::detail {

/// One connection of an http_client. Private members run on the socket's strand; the public
/// functions may be called on any thread.
class http_client_connection : public std::enable_shared_from_this<http_client_connection>
{
public:
    http_client_connection(boost::asio::io_context &context,
                           std::shared_ptr<http_client_pool> pool);

    /// Carries out the call; connects first if needed.
    void start(std::shared_ptr<http_client_call> call);
    /// Gives up the call if the connection still carries it.
    void onTimeout(std::shared_ptr<http_client_call> call);
    /// Closes a connection that has no call.
    void closeIdle();

private:
    using request_message = boost::beast::http::request<boost::beast::http::string_body>;
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void onConnected(const boost::system::error_code &code);
    void write();
    void onWritten(std::uint64_t generation, const boost::system::error_code &code,
                   std::size_t bytes);
    void readSome();
    void onRead(std::uint64_t generation, const boost::system::error_code &code, std::size_t bytes);
    void feed();
    void onParsed();
    void newParser();
    void closeSocket();
    void release();
    void end(http_result_kind kind, bool refused = false);
    [[nodiscard]] bool serverClosed();
    [[nodiscard]] request_message toBeast(const http_request &request) const;

    std::shared_ptr<http_client_pool> m_pool;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    std::shared_ptr<http_client_call> m_call;
    request_message m_message;
    std::optional<parser> m_parser;
    boost::beast::flat_buffer m_buffer;
    /// Number of the socket; completions for an earlier socket are ignored.
    std::uint64_t m_generation = 0;
    bool m_reading = false;
    bool m_writing = false;
    bool m_bytesWritten = false; ///< of the present call
    bool m_wasReused = false; ///< the present call was given a kept connection
    bool m_connecting = false;
};

} // namespace plantainpitch::runtime::detail
