#pragma once

#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_result.h"
#include "plantainpitch/runtime/http_send.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace plantainpitch::runtime {

struct http_client_options
{
    std::string address;
    std::uint16_t port = 0;
    std::size_t maxConnections = 64; ///< further requests wait
    std::chrono::milliseconds connectTimeout{ 1'000 };
    std::size_t maxBodyBytes = 16UL * 1024 * 1024;
};

/// Sends HTTP/1.1 requests to one server over a pool of kept connections. Never sends a request a
/// second time once any byte of it was written; a kept connection that the server had closed
/// before the first byte was written is replaced. Thread-safe.
class http_client
{
public:
    http_client(boost::asio::io_context &context, http_client_options options);
    ~http_client();

    /// \a done is called once, on a thread of the io_context.
    void send(http_request request, std::chrono::milliseconds timeout,
              std::function<void(http_result)> done);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Sends requests through \a client, which must outlive the result.
http_send sendThrough(http_client &client);

} // namespace plantainpitch::runtime
