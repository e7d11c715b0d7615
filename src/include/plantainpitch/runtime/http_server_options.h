#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace plantainpitch::runtime {

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the system
    /// Of a request, and of its trailers and each chunk extension; larger: 431.
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 1024UL * 1024; ///< larger: 413
    /// Bytes of further requests on a connection that are read before the present one is answered.
    std::size_t maxEarlyBytes = 16UL * 1024;
    /// Of all requests that are being read or handled. Beyond it the connection that holds most
    /// among those that are being read gets a 503. Far above what a gateway with the largest
    /// requests holds at a time, and a fifth of the memory of the smallest VM.
    std::size_t maxHeldBytes = 32UL * 1024 * 1024;
    /// Beyond it the connection that has waited for its client longest is closed, if it has waited
    /// for minWaitBeforeEviction; otherwise the new one gets a 503.
    std::size_t maxConnections = 1024;
    /// A client in good order sends or reads the next bytes within this time.
    std::chrono::milliseconds minWaitBeforeEviction{ 250 };
    std::chrono::milliseconds readTimeout{ 10'000 }; ///< whole request: 408
    std::chrono::milliseconds idleTimeout{ 60'000 }; ///< between requests: close
    /// Time that a connection without any request keeps after the server stopped accepting: the
    /// client has just connected, and its first request is on the way.
    std::chrono::milliseconds firstRequestTime{ 500 };
    /// Called for each request or connection that a limit ends, with one of a small set of reasons;
    /// on any thread of the server.
    std::function<void(const char *reason)> limitReached;
};

} // namespace plantainpitch::runtime
